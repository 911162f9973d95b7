#ifndef KUMQUATLOOM_DIRECTORY_DRAIN_TIMER_HPP
#define KUMQUATLOOM_DIRECTORY_DRAIN_TIMER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace kumquatloom::directory
{

/// Waiting times of a leaving instance (section 5.8 of the design).
struct drain_timer_settings
{
    /// How long callers may cache a list of entry instances.
    std::chrono::milliseconds entries_ttl{30000};
    /// How long a peer that receives no further information about this instance
    /// may still list it to callers.
    std::chrono::milliseconds peer_listing_time{4000};
    /// Margin for differences in clock rate.
    std::chrono::milliseconds margin{1000};
};

/// Determines when a leaving instance may stop: after every cached list with
/// its address has expired and its last request has ended.
class drain_timer
{
public:
    explicit drain_timer(drain_timer_settings settings);

    /// Starts the wait. Called when the instance stops sending heartbeats with
    /// the state "live"; further calls have no effect.
    void start(core::time_point now);

    /// Whether the instance is leaving.
    bool started() const
    {
        return started_.has_value();
    }

    /// The earliest time at which the instance may stop; nothing before
    /// start().
    std::optional<core::time_point> earliest_stop_time() const;

    /// Whether the instance may stop now.
    bool may_stop(std::size_t requests_in_flight, core::time_point now) const;

private:
    /// Waiting times.
    drain_timer_settings settings_;
    /// Time of the first call of start().
    std::optional<core::time_point> started_;
};

} // namespace kumquatloom::directory

#endif
