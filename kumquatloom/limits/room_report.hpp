#ifndef KUMQUATLOOM_LIMITS_ROOM_REPORT_HPP
#define KUMQUATLOOM_LIMITS_ROOM_REPORT_HPP

#include <kumquatloom/limits/priority.hpp>

#include <array>
#include <cstddef>

namespace kumquatloom::limits
{

/// What one instance observes of the room for the requests to a service.
struct room_report
{
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    /// Requests per second by priority, including refused ones.
    std::array<float, levels> arrivals_per_s{};
    /// Requests that wait for a slot.
    float waiting = 0;
    /// Slots per second that requests got.
    float slots_per_s = 0;
};

} // namespace kumquatloom::limits

#endif
