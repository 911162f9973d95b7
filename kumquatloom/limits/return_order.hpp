#ifndef KUMQUATLOOM_LIMITS_RETURN_ORDER_HPP
#define KUMQUATLOOM_LIMITS_RETURN_ORDER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/priority.hpp>

#include <array>
#include <cstddef>
#include <unordered_map>

namespace kumquatloom::limits
{

/// Assigns times at which refused requests of a service should return: those of
/// a priority as fast as slots become free for them, a rate which its
/// organisations share equally. Not thread-safe.
class return_order
{
public:
    /// Time until there is room for a request that is refused now, reserved
    /// unless it exceeds `longest`. `drain` is the time until those that wait
    /// are served, `interval` that between two slots for its priority.
    core::duration reserve(core::organisation_name const& organisation,
                           priority value,
                           core::duration drain,
                           core::duration interval,
                           core::duration longest,
                           core::time_point now);

private:
    static constexpr std::size_t levels =
        static_cast<std::size_t>(priority::count);

    /// Reservations of one priority.
    struct reservations
    {
        /// Last reserved time.
        core::time_point last;
        /// Last reserved time by organisation, of those that are not past.
        std::unordered_map<core::organisation_name, core::time_point>
            by_organisation;
    };

    std::array<reservations, levels> reserved_;
};

} // namespace kumquatloom::limits

#endif
