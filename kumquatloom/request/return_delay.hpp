#ifndef KUMQUATLOOM_REQUEST_RETURN_DELAY_HPP
#define KUMQUATLOOM_REQUEST_RETURN_DELAY_HPP

#include <kumquatloom/core/clock.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatloom::request
{

/// Shortest delay that is suggested to a refused caller. With less, it would
/// return before any slot is free.
inline constexpr std::chrono::milliseconds min_return_delay{50};

/// Lower bound for callers with little time left. With none, a caller would
/// return at ever shorter intervals until its time has passed.
inline constexpr std::chrono::milliseconds least_return_delay{20};

/// The longest delay that a caller with `remaining` time honours, less room for
/// the transfer of the response and for other clocks.
inline core::duration longest_return_delay(core::duration remaining)
{
    constexpr int honoured_part = 3;
    constexpr double margin = 0.9;
    return std::chrono::duration_cast<core::duration>(
        std::max(remaining, core::duration::zero()) * margin / honoured_part);
}

/// The delay after which a refused caller should return: when room is expected,
/// spread by `fraction`, a random number in [0, 1), over half of that time.
/// Callers honour at most a third of the time that they have left.
inline core::duration return_delay(core::duration room_expected,
                                   core::duration remaining,
                                   double fraction)
{
    constexpr double min_spread = 0.5;
    auto const expected =
        std::max<core::duration>(room_expected, min_return_delay);
    auto const longest = longest_return_delay(remaining);
    // [0.75, 1.25) of the expected time, or [0.5, 1) of the longest useful one.
    auto const spread = std::chrono::duration_cast<core::duration>(
        expected * (0.75 + min_spread * fraction));
    if (spread <= longest)
        return spread;
    return std::max<core::duration>(
        std::chrono::duration_cast<core::duration>(
            longest * (min_spread + (1 - min_spread) * fraction)),
        least_return_delay);
}

} // namespace kumquatloom::request

#endif
