#ifndef KUMQUATLOOM_LIMITS_ROOM_ESTIMATE_HPP
#define KUMQUATLOOM_LIMITS_ROOM_ESTIMATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/decayed_sum.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace kumquatloom::limits
{

/// Estimates how long a request waits for a slot, from the rate at which this
/// instance got slots lately: all instances compete for the slots of a service,
/// so that their number says little. Not thread-safe.
class room_estimate
{
public:
    room_estimate();

    /// Counts a new request, whether it has to wait or not.
    void record_arrival(priority value, core::time_point now);

    /// Counts a slot that was given to a request.
    void record_grant(core::time_point now);

    /// Expected wait of a request behind `ahead` others. `in_flight` requests
    /// of this instance are running, for `typical_work` each; they bound the
    /// rate from below when the load has just risen. Empty if nothing is known.
    std::optional<core::duration> wait(std::size_t ahead,
                                       priority value,
                                       std::size_t in_flight,
                                       core::duration typical_work,
                                       core::time_point now) const;

    /// Slots per second that the instance got lately.
    double grants_per_s(core::time_point now) const
    {
        return grants_.per_second(now);
    }

    /// Requests of a priority per second that arrived lately.
    double arrivals_per_s(priority value, core::time_point now) const
    {
        return arrivals_[static_cast<std::size_t>(value)].per_second(now);
    }

private:
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    std::array<decayed_sum, levels> arrivals_;
    decayed_sum grants_;
};

} // namespace kumquatloom::limits

#endif
