#include <kumquatloom/directory/drain_timer.hpp>

namespace kumquatloom::directory
{

drain_timer::drain_timer(drain_timer_settings settings)
    : settings_(settings)
{
}

void drain_timer::start(core::time_point now)
{
    if (!started_)
        started_ = now;
}

std::optional<core::time_point> drain_timer::earliest_stop_time() const
{
    if (!started_)
        return std::nullopt;
    return *started_ + settings_.entries_ttl + settings_.peer_listing_time +
           settings_.margin;
}

bool drain_timer::may_stop(std::size_t requests_in_flight,
                           core::time_point now) const
{
    auto const earliest = earliest_stop_time();
    return earliest && now >= *earliest && requests_in_flight == 0;
}

} // namespace kumquatloom::directory
