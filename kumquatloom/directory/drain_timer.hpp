#ifndef KUMQUATLOOM_DIRECTORY_DRAIN_TIMER_HPP
#define KUMQUATLOOM_DIRECTORY_DRAIN_TIMER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace kumquatloom::directory
{

/// Times that a leaving instance waits for (section 5.8 of the design).
struct drain_timer_settings
{
    /// How long callers may keep an answer.
    std::chrono::milliseconds entries_ttl{30000};
    /// How long a peer that heard nothing more may still hand this one out.
    std::chrono::milliseconds hand_out_bound{4000};
    /// Margin for clocks that run at different rates.
    std::chrono::milliseconds margin{1000};
};

/// Tells when a leaving instance may stop: no caller may still hold an answer
/// with its address, and its last request must have ended.
class drain_timer
{
public:
    /// The instance is not leaving yet.
    explicit drain_timer(drain_timer_settings settings);

    /// The instance stopped sending heartbeats that say "live". Later calls
    /// change nothing.
    void start(core::time_point now);

    /// Whether the instance is leaving.
    bool started() const
    {
        return started_.has_value();
    }

    /// The earliest time to stop; nothing before start().
    std::optional<core::time_point> earliest_stop() const;

    /// Whether the instance may stop now.
    bool may_stop(std::size_t requests_in_flight, core::time_point now) const;

private:
    /// Times to wait for.
    drain_timer_settings settings_;
    /// When the instance began to leave.
    std::optional<core::time_point> started_;
};

} // namespace kumquatloom::directory

#endif
