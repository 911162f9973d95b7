#ifndef KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_SETTINGS_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_SETTINGS_HPP

#include <kumquatloom/health/attempt_report.hpp>

#include <chrono>

namespace kumquatloom::health
{

/// Weights and limits of the estimate of whether an upstream is unhealthy. A
/// weight is the natural logarithm of the ratio of the probabilities of a
/// result at an unhealthy and at a healthy upstream.
struct health_estimate_settings
{
    /// Log-odds without evidence: two in ten upstreams are unhealthy at any
    /// time.
    double prior = -1.5;
    /// Upper bound of the log-odds, so that a long fault is not remembered
    /// longer than a short one.
    double max_log_odds = 5;
    /// Lower bound of the log-odds, so that one connection reset outweighs any
    /// number of successes.
    double min_log_odds = -4;
    /// Time constant of the exponential decay of evidence. Gray failures last
    /// five to ten seconds, and one that was detected with high log-odds is
    /// remembered for about that long.
    std::chrono::milliseconds decay_time{5000};
    /// Log-odds above which an upstream is avoided: unhealthy is as likely as
    /// healthy.
    double avoid_threshold = 0;
    /// Log-odds above which an upstream receives only trial requests unless all
    /// upstreams are avoided, even if the others have no free slot. An
    /// unhealthy upstream fails most requests, and waiting or a refusal is
    /// better for the caller than an unknown outcome.
    double last_resort_threshold = 2.2;
    /// Weight of a success. An upstream with a gray failure still answers some
    /// of its requests.
    double success_weight = -1.2;
    /// Weight of a success at an avoided upstream.
    double recovery_weight = -1.2;
    /// Weight of a success that took several times the usual latency of the
    /// service.
    double late_weight = 0.6;
    /// Weight of an error response. Healthy upstreams return one in a hundred,
    /// so that a single one is not sufficient evidence, but two within a short
    /// time are.
    double error_weight = 1.4;
    /// Weight of a response that was cut short or wrong: one in a thousand
    /// responses of a healthy upstream, but most responses of one with a gray
    /// failure. It outweighs any number of successes.
    double broken_response_weight = 8;
    /// Weight of a timeout.
    double timeout_weight = 4;
    /// Weight of a failed connection attempt.
    double connect_failure_weight = 8;
    /// Multiple of the usual latency above which a success is late.
    double late_factor = 4;
    /// Time from the first bad result to the first trial request. It is short
    /// because one broken response of a healthy upstream must not take away its
    /// capacity for longer than a trial takes.
    std::chrono::milliseconds first_trial_delay{100};
    /// Time from a failed trial request of any observer to the next trial
    /// request. The platform expects requests at every healthy upstream within
    /// 2 s.
    std::chrono::milliseconds trial_interval{1400};
    /// Delay between consecutive observers for the same trial request. It
    /// equals the delivery time of a heartbeat, so that usually only one
    /// observer sends the request.
    std::chrono::milliseconds trial_stagger{15};
    /// Number of turns that the observers take at each upstream, in an order
    /// that depends on the upstream. 0: each observer has a turn of its own, in
    /// the same order at every upstream.
    unsigned trial_turns = 0;

    /// Settings for a service whose upstreams fail most requests in episodes of
    /// a few seconds and whose callers cannot wait for many attempts.
    static health_estimate_settings for_failure_episodes();

    /// Returns the weight of a result; `is_late` only matters for a success.
    double weight(attempt_result result, bool is_late) const;
};

} // namespace kumquatloom::health

#endif
