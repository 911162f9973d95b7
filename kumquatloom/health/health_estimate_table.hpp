#ifndef KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_TABLE_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/coverage_schedule.hpp>
#include <kumquatloom/health/health_estimate.hpp>
#include <kumquatloom/health/health_estimate_settings.hpp>
#include <kumquatloom/health/standing_decision.hpp>
#include <kumquatloom/membership/domain_rank.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquatloom::health
{

/// Decides after every result which upstreams of one service are avoided, from
/// the results of this instance and its neighbours. Avoided upstreams remain
/// available as reserve capacity, so that a single connection reset is
/// sufficient to avoid one. Used by one thread only.
class health_estimate_table
{
public:
    /// `protected_fraction` is the fraction of the upstreams that is never
    /// avoided.
    health_estimate_table(health_estimate_settings const& settings,
                          double protected_fraction);

    /// Replaces the settings; the estimates are kept.
    void configure(health_estimate_settings const& settings)
    {
        settings_ = settings;
    }

    /// Replaces the tracked upstreams; estimates of those that remain are kept.
    void track(std::vector<core::upstream_id> const& upstreams,
               core::time_point now);

    /// Adds a result of this instance and returns its weight, which is sent to
    /// the neighbours; 0 if the result is no evidence.
    double record(attempt_report const& report, core::time_point now);

    /// Adds the evidence of a neighbour.
    void merge(core::upstream_id const& upstream,
               double weight,
               core::time_point now);

    /// Takes over the log-odds of an avoided upstream from a neighbour, for
    /// example after this instance has restarted.
    void adopt(core::upstream_id const& upstream,
               double log_odds,
               core::time_point now);

    /// Returns the log-odds that an upstream is unhealthy if they are high
    /// enough to avoid it.
    std::optional<double> avoided_log_odds(core::upstream_id const& upstream,
                                           core::time_point now) const;

    /// Sets the rank of this instance among the observers that share the trial
    /// requests. The trial requests of this instance are delayed by the rank
    /// times `trial_stagger`.
    void assign_observers(membership::domain_rank const& observers)
    {
        observers_ = observers;
    }

    /// Returns the decision about each tracked upstream from now on. `withheld`
    /// upstreams accept no requests at present; they count as avoided for the
    /// protected fraction.
    std::vector<standing_decision> decide(core::time_point now,
                                          std::size_t withheld = 0);

    /// Whether evidence since the last decision has taken an upstream across
    /// the threshold at which it is avoided, or becomes a last resort.
    bool has_crossing() const
    {
        return has_crossing_;
    }

    /// Number of upstreams that the last decision avoids.
    std::size_t avoided_count() const
    {
        return avoided_count_;
    }

private:
    struct upstream_state
    {
        /// Log-odds that the upstream is unhealthy.
        health_estimate estimate;
        /// When this observer may next send a trial request to the upstream.
        /// Set again by each result, including those of neighbours: a bad
        /// result delays the next trial request, a good one makes it due after
        /// the delay given by the observer index.
        core::time_point next_trial;
        /// When the upstream needs a request of any kind.
        coverage_schedule coverage;
    };

    /// Number of thresholds of a standing that the log-odds exceed.
    int thresholds_exceeded(upstream_state const& state,
                            core::time_point now) const;
    /// Delay of this observer's trial requests, so that few observers send the
    /// same one.
    core::duration trial_stagger(core::upstream_id const& upstream) const;
    void add(core::upstream_id const& upstream,
             upstream_state& state,
             double weight,
             core::time_point now);
    std::size_t max_avoided() const;
    /// Turn of this observer among those that keep an upstream covered, in an
    /// order that depends on the upstream.
    std::size_t coverage_turn(core::upstream_id const& upstream) const;

    health_estimate_settings settings_;
    /// Fraction of the upstreams that is never avoided.
    double protected_fraction_;
    std::unordered_map<core::upstream_id, upstream_state> upstreams_;
    /// Moving average of the latency of successes in seconds; 0 before the
    /// first.
    double smoothed_latency_seconds_ = 0;
    /// Rank of this instance among the observers.
    membership::domain_rank observers_;
    /// Number of upstreams that the last decision avoids.
    std::size_t avoided_count_ = 0;
    bool has_crossing_ = false;
};

} // namespace kumquatloom::health

#endif
