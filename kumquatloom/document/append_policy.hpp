#ifndef KUMQUATLOOM_DOCUMENT_APPEND_POLICY_HPP
#define KUMQUATLOOM_DOCUMENT_APPEND_POLICY_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <functional>

namespace kumquatloom::document
{

/// Settings of an instance's own appends to the log.
struct append_settings
{
    /// Appends a second of the whole fleet. The log accepts several hundred,
    /// which it shares with others.
    double fleet_rate_per_s = 100;
    /// Expected entry instances of the whole fleet.
    unsigned instances = 1;
    /// Appends that may follow each other at once.
    double burst = 2;
    /// Upper bound of the wait after the first failure.
    std::chrono::milliseconds first_backoff{200};
    /// Upper bound of the wait after many failures.
    std::chrono::milliseconds longest_backoff{30000};
};

/// Limits when an instance appends to the log: a token bucket, and exponential
/// backoff with full jitter after failures.
class append_policy
{
public:
    /// `random` returns numbers that are uniform in [0, 1).
    append_policy(append_settings settings,
                  std::function<double()> random,
                  core::time_point now);

    /// Takes a token; false if an append must wait.
    bool try_take(core::time_point now);

    /// The append failed or its outcome is unknown.
    void failed(core::time_point now);

    /// The append succeeded.
    void succeeded();

    /// When try_take() can succeed next.
    core::time_point next_attempt(core::time_point now) const;

private:
    void refill(core::time_point now);
    double rate_per_s() const;

    /// The settings.
    append_settings settings_;
    /// Source of the jitter.
    std::function<double()> random_;
    /// Tokens in the bucket.
    double tokens_;
    /// When the tokens were counted.
    core::time_point refilled_;
    /// Failures since the last success.
    unsigned failures_ = 0;
    /// No append before this time.
    core::time_point blocked_until_;
};

} // namespace kumquatloom::document

#endif
