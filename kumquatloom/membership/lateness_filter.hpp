#ifndef KUMQUATLOOM_MEMBERSHIP_LATENESS_FILTER_HPP
#define KUMQUATLOOM_MEMBERSHIP_LATENESS_FILTER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <optional>

namespace kumquatloom::membership
{

/// Estimates how late a message of one sender incarnation is, from the sender's
/// uptime in the message. The smallest difference between the own clock and
/// the uptime belongs to the fastest message; a larger one shows a delay, in
/// the network or in the own socket while this process was paused. Only
/// differences on one clock are compared, so the clocks need not agree.
class lateness_filter
{
public:
    /// Length of the two windows over which the smallest difference is taken.
    /// Clock rates differ by some 100 ppm, which is 1 ms in this time.
    static constexpr std::chrono::seconds window{10};

    /// How much later the message arrived than the fastest recent one.
    core::duration lateness(std::chrono::milliseconds uptime,
                            core::time_point now);

    /// Whether there is a message to compare with.
    bool primed() const
    {
        return current_.has_value();
    }

private:
    /// Smallest difference in the current window.
    std::optional<core::duration> current_;
    /// Smallest difference in the window before.
    std::optional<core::duration> previous_;
    /// Start of the current window.
    core::time_point window_start_;
};

} // namespace kumquatloom::membership

#endif
