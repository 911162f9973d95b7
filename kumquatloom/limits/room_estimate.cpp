#include <kumquatloom/limits/room_estimate.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

using namespace std::chrono_literals;

/// Long enough to count some requests of an instance with few slots, short
/// enough to notice a lost failure domain within a second.
constexpr core::duration rate_lifetime = 500ms;
/// Part of the rate that requests of a lower priority can expect even if more
/// urgent ones arrive as fast as slots become free.
constexpr double min_rate_share = 0.1;
/// Below this rate nothing is known about the room, per second.
constexpr double min_rate = 0.5;

} // namespace

room_estimate::room_estimate()
    : arrivals_{decayed_sum(rate_lifetime),
                decayed_sum(rate_lifetime),
                decayed_sum(rate_lifetime)}
    , grants_(rate_lifetime)
{
}

void room_estimate::record_arrival(priority value, core::time_point now)
{
    arrivals_[static_cast<std::size_t>(value)].add(1, now);
}

void room_estimate::record_grant(core::time_point now)
{
    grants_.add(1, now);
}

std::optional<core::duration> room_estimate::wait(std::size_t ahead,
                                                  priority value,
                                                  std::size_t in_flight,
                                                  core::duration typical_work,
                                                  core::time_point now) const
{
    double rate = grants_.per_second(now);
    if (typical_work > core::duration::zero())
        rate =
            std::max(rate,
                     static_cast<double>(in_flight) /
                         std::chrono::duration<double>(typical_work).count());
    if (rate < min_rate)
        return std::nullopt;
    // More urgent requests that arrive later are served first.
    double urgent = 0;
    for (std::size_t level = 0; level < static_cast<std::size_t>(value);
         ++level)
        urgent += arrivals_[level].per_second(now);
    double const left = std::max(rate - urgent, rate * min_rate_share);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(static_cast<double>(ahead) / left));
}

} // namespace kumquatloom::limits
