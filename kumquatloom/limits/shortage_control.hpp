#ifndef KUMQUATLOOM_LIMITS_SHORTAGE_CONTROL_HPP
#define KUMQUATLOOM_LIMITS_SHORTAGE_CONTROL_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/room_estimate.hpp>
#include <kumquatloom/limits/shortage_refusal.hpp>
#include <kumquatloom/limits/start_times.hpp>
#include <kumquatloom/limits/work_estimates.hpp>

#include <cstddef>
#include <optional>

namespace kumquatloom::limits
{

/// Decides which requests to one service are refused because they can't be
/// served in time. Handles a burst, a long overload and lost upstreams, which
/// all show as fewer slots for this instance than requests. Not thread-safe.
class shortage_control
{
public:
    /// Times of the upstreams by route.
    work_estimates work;
    /// Slots that the instance got.
    room_estimate room;

    /// The reason to refuse a new request that would wait behind `ahead`
    /// others; empty if it may wait. `in_flight` requests of this instance are
    /// running.
    std::optional<shortage_refusal> on_arrival(start_times const& times,
                                               std::size_t ahead,
                                               priority value,
                                               std::size_t in_flight,
                                               core::time_point now) const;

    /// A wait behind `ahead` others that is hardly ever undercut, empty if
    /// nothing is known. A waiting request is refused by this one, because the
    /// rate of an instance with few slots varies.
    std::optional<core::duration> shortest_wait(std::size_t ahead,
                                                priority value,
                                                std::size_t in_flight,
                                                core::time_point now) const;

    /// Expected wait behind `ahead` others; zero if nothing is known.
    core::duration expected_wait(std::size_t ahead,
                                 priority value,
                                 std::size_t in_flight,
                                 core::time_point now) const;
};

} // namespace kumquatloom::limits

#endif
