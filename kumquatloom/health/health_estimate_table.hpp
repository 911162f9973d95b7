#ifndef KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_TABLE_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/health_estimate.hpp>
#include <kumquatloom/health/health_estimate_settings.hpp>
#include <kumquatloom/health/standing_decision.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquatloom::health
{

/// Decides at every result which upstreams of one service are avoided, from
/// the results of this instance and those that its neighbours tell. Avoided
/// upstreams keep their capacity as a reserve, so that a single reset is
/// enough to avoid one. Belongs to one thread.
class health_estimate_table
{
public:
    /// Avoids at most the part of the upstreams above `floor`.
    health_estimate_table(health_estimate_settings const& settings,
                          double floor);

    /// Replaces the watched upstreams; beliefs about those that stay are kept.
    void track(std::vector<core::upstream_id> const& upstreams,
               core::time_point now);

    /// Adds a result of this instance and returns its weight, which the
    /// neighbours are told; 0 if it says nothing.
    double record(attempt_report const& report, core::time_point now);

    /// Adds the evidence of a neighbour.
    void merge(core::upstream_id const& upstream,
               double weight,
               core::time_point now);

    /// Takes over that an upstream is avoided, from a neighbour that has known
    /// it for longer.
    void adopt(core::upstream_id const& upstream,
               double log_odds,
               core::time_point now);

    /// The log-odds that an upstream is sick, if it is avoided for them.
    std::optional<double> avoided_log_odds(core::upstream_id const& upstream,
                                           core::time_point now) const;

    /// States the place of this instance among the observers that share the
    /// trials.
    void assign_observer_index(std::size_t place)
    {
        place_ = static_cast<int>(place);
    }

    /// How each watched upstream is to be treated from now on.
    std::vector<standing_decision> decide(core::time_point now);

    /// Number of upstreams that are avoided since the last decision.
    std::size_t avoided() const
    {
        return avoided_;
    }

private:
    /// One upstream.
    struct watched
    {
        /// The belief.
        health_estimate estimate;
        /// When it may get another trial request from this observer. Each
        /// result, also a neighbour's, puts it off.
        core::time_point next_trial;
    };

    void add(watched& item, double weight, core::time_point now);
    std::size_t budget() const;

    /// How evidence counts.
    health_estimate_settings settings_;
    /// Part of the upstreams that is never avoided.
    double floor_;
    /// The watched upstreams.
    std::unordered_map<core::upstream_id, watched> upstreams_;
    /// Smoothed latency of successes in seconds; 0 before the first.
    double usual_latency_ = 0;
    /// See assign_observer_index().
    int place_ = 0;
    /// Upstreams avoided by the last decision.
    std::size_t avoided_ = 0;
};

} // namespace kumquatloom::health

#endif
