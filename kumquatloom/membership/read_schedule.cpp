#include <kumquatloom/membership/read_schedule.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

namespace
{

/// Doublings of the pause after which it no longer grows.
constexpr unsigned max_doublings = 8;

} // namespace

read_schedule::read_schedule(read_schedule_settings const& settings)
    : settings_(settings)
{
}

void read_schedule::know(core::time_point as_of)
{
    if (!as_of_ || *as_of_ < as_of)
        as_of_ = as_of;
}

void read_schedule::succeeded(core::time_point now)
{
    failures_ = 0;
    last_failure_ = now - settings_.penalty_time;
}

void read_schedule::failed(core::time_point now)
{
    if (failures_++ == 0)
        failing_since_ = now;
    last_failure_ = now;
}

bool read_schedule::due(std::size_t rank, core::time_point now) const
{
    if (failures_ != 0 && now - last_failure_ < pause())
        return false;
    if (!as_of_)
        return true;
    bool const refused =
        failures_ != 0 && now - last_failure_ < settings_.penalty_time;
    auto const place = rank + (refused ? settings_.penalty_ranks : 0);
    auto const age = std::min<core::duration>(
        settings_.period + settings_.step * static_cast<int>(place),
        settings_.limit);
    return now - *as_of_ >= age;
}

core::duration read_schedule::pause() const
{
    auto const doublings = std::min(failures_, max_doublings) - 1;
    return std::min<core::duration>(settings_.shortest_pause * (1 << doublings),
                                    settings_.longest_pause);
}

} // namespace kumquatloom::membership
