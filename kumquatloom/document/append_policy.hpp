#ifndef KUMQUATLOOM_DOCUMENT_APPEND_POLICY_HPP
#define KUMQUATLOOM_DOCUMENT_APPEND_POLICY_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <functional>

namespace kumquatloom::document
{

/// Settings of the rate and backoff of an instance's appends to the log.
struct append_settings
{
    /// Appends per second of the whole fleet. The log accepts several hundred
    /// per second, shared with other users of the platform.
    double fleet_rate_per_s = 100;
    /// Expected number of entry instances in the whole fleet.
    unsigned instances = 1;
    /// Capacity of the token bucket: number of appends that may be made without
    /// delay.
    double burst = 2;
    /// Upper bound of the delay after the first failure.
    std::chrono::milliseconds initial_backoff{200};
    /// Upper bound of the delay after any number of failures.
    std::chrono::milliseconds max_backoff{30000};
};

/// Limits an instance's appends to the log by a token bucket, and by
/// exponential backoff with full jitter after failures.
class append_policy
{
public:
    /// `random` returns numbers that are uniform in [0, 1).
    append_policy(append_settings settings,
                  std::function<double()> random,
                  core::time_point now);

    /// Takes a token. Returns false if the append must wait.
    bool try_acquire(core::time_point now);

    /// Records an append that failed or whose outcome is unknown.
    void record_failure(core::time_point now);

    /// Records a successful append, which resets the backoff.
    void record_success();

    /// The earliest time at which try_acquire() can succeed.
    core::time_point next_attempt(core::time_point now) const;

private:
    void refill(core::time_point now);
    double rate_per_s() const;

    /// The settings.
    append_settings settings_;
    /// Random source of the jitter.
    std::function<double()> random_;
    /// Tokens in the bucket.
    double tokens_;
    /// Time of the last refill.
    core::time_point refilled_at_;
    /// Number of failures since the last success.
    unsigned failures_ = 0;
    /// End of the current backoff.
    core::time_point blocked_until_;
};

} // namespace kumquatloom::document

#endif
