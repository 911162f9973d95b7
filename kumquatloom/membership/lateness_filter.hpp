#ifndef KUMQUATLOOM_MEMBERSHIP_LATENESS_FILTER_HPP
#define KUMQUATLOOM_MEMBERSHIP_LATENESS_FILTER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <optional>

namespace kumquatloom::membership
{

/// Estimates how late a message from one incarnation of a sender is, from the
/// sender's uptime in the message. The smallest difference between the local
/// clock and that uptime belongs to the fastest message; a larger difference
/// shows a delay in the network or, while this process was paused, in the
/// receive buffer. Only differences of the local clock are compared, so the
/// clocks need not be synchronized.
class lateness_filter
{
public:
    /// Length of each of the two windows over which the smallest difference is
    /// taken. Clock rates differ by about 100 ppm, which is 1 ms in this time.
    static constexpr std::chrono::seconds window{10};

    /// Adds a message and returns how much later it arrived than the fastest
    /// recent one.
    core::duration lateness(std::chrono::milliseconds uptime,
                            core::time_point now);

    /// Whether an earlier message exists to compare with.
    bool has_reference() const
    {
        return current_.has_value();
    }

private:
    /// Smallest difference in the current window.
    std::optional<core::duration> current_;
    /// Smallest difference in the previous window.
    std::optional<core::duration> previous_;
    /// Start of the current window.
    core::time_point window_start_;
};

} // namespace kumquatloom::membership

#endif
