#ifndef KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_SETTINGS_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_SETTINGS_HPP

#include <kumquatloom/health/attempt_report.hpp>

#include <chrono>

namespace kumquatloom::health
{

/// How results of attempts change the belief that an upstream is sick. All
/// weights are natural logarithms of how much likelier a result is at a sick
/// upstream than at a healthy one.
struct health_estimate_settings
{
    /// Log-odds without evidence: two upstreams in ten are sick at any time.
    double prior = -1.5;
    /// Bound of the log-odds; keeps a long sickness from being remembered
    /// longer than a short one.
    double ceiling = 5;
    /// Lower bound of the log-odds: with a long good record a reset must still
    /// outweigh it.
    double floor = -4;
    /// Time in which evidence fades to 1/e of its weight. Gray spells last
    /// five to ten seconds, so that a certain one is remembered that long.
    std::chrono::milliseconds fade{5000};
    /// Log-odds above which an upstream is avoided: as likely sick as not.
    double avoid_above = 0;
    /// Log-odds above which it gets nothing but trials as long as others are
    /// there, even if these are full: a sick one fails most requests, and to
    /// wait or to refuse is better for the caller than an unknown outcome.
    double hopeless_above = 2.2;
    /// Success: a gray upstream still answers a part of its requests.
    double success = -1.2;
    /// A success that took several times the usual time of the service.
    double late = 0.6;
    /// An error of the upstream. Healthy ones have one in a hundred, so that
    /// only two in short order are evidence enough.
    double error = 1.4;
    /// The connection ended or the answer was wrong: one in a thousand at
    /// healthy ones, most at gray ones. It outweighs the best record.
    double broken = 8;
    /// No answer at all.
    double silent = 4;
    /// No connection.
    double unreachable = 8;
    /// Multiple of the usual latency above which a success is late.
    double late_factor = 4;
    /// Time from the first bad result to the first trial request: a single
    /// broken answer of a healthy upstream should not cost its capacity for
    /// longer than it takes to find out.
    std::chrono::milliseconds first_trial{100};
    /// Time between two trials, from all observers together, after one that
    /// failed. The platform expects work at every sound upstream within 2 s.
    std::chrono::milliseconds trial_interval{1400};
    /// Time between the turns of two observers to make the same trial: the way
    /// of a heartbeat, so that mostly one of them makes it.
    std::chrono::milliseconds trial_turn{15};

    /// The weight of a result; `is_late` only matters for a success.
    double weight(attempt_result result, bool is_late) const;
};

} // namespace kumquatloom::health

#endif
