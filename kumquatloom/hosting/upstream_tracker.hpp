#ifndef KUMQUATLOOM_HOSTING_UPSTREAM_TRACKER_HPP
#define KUMQUATLOOM_HOSTING_UPSTREAM_TRACKER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/health_estimate_table.hpp>
#include <kumquatloom/hosting/departure_notice.hpp>
#include <kumquatloom/hosting/upstream_estimate.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>
#include <kumquatloom/membership/domain_rank.hpp>
#include <kumquatloom/routing/upstream.hpp>
#include <kumquatloom/routing/upstream_table.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace kumquatloom::hosting
{

class remote_load_table;

/// Tracks load and health of all upstreams from the results of this instance
/// and the reports of others, and collects what is to be reported to the
/// neighbours. Not thread-safe.
class upstream_tracker
{
public:
    /// Never avoids more than the fraction 1 - `floor` of a service's
    /// upstreams.
    explicit upstream_tracker(double floor);

    /// Replaces the tracked upstreams of a service.
    void track(core::service_name const& service,
               routing::upstream_table::pointer table,
               core::time_point now);

    /// Replaces the settings of the health estimates of a tracked service.
    void configure(core::service_name const& service,
                   health::health_estimate_settings const& settings);

    /// Drops all services that are not in `services`.
    void retain_services(std::vector<core::service_name> const& services);

    /// Adds the result of an attempt by this instance.
    void record_attempt(routing::upstream const& target,
                        health::attempt_report const& report,
                        core::time_point now);

    /// Adds health evidence from other instances, multiplied by
    /// `evidence_weight`.
    void merge_evidence(std::vector<upstream_report> const& reports,
                        double evidence_weight,
                        core::time_point now);

    /// Adopts the health estimates in a neighbour's reply to a hello message,
    /// for example after this instance has started.
    void adopt_estimates(std::vector<upstream_estimate> const& estimates,
                         core::time_point now);

    /// Health estimates of the avoided upstreams, for a new neighbour.
    std::vector<upstream_estimate>
    avoided_estimates(core::time_point now) const;

    /// Marks the listed upstreams that have announced their departure to
    /// another instance as leaving.
    void mark_departed(std::vector<departed_upstream> const& departed);

    /// Passes the load from other instances to all upstreams.
    void publish_remote_load(remote_load_table const& loads);

    /// Passes the load from other instances to the given upstreams.
    void publish_remote_load(remote_load_table const& loads,
                             std::vector<std::uint32_t> const& changed);

    /// Whether upstreams were added since the last call.
    bool take_new_upstreams();

    /// Updates the rank of this instance among the live instances of its
    /// domain, which share the trial requests.
    void assign_observers(membership::domain_rank const& observers);

    /// Evaluates the health of all upstreams and publishes the resulting
    /// standings to the request path.
    void update_standings(core::time_point now);

    /// Load and pending evidence to report to all neighbours; clears the
    /// pending evidence.
    std::vector<upstream_report> take_reports();

    /// Load without evidence, for a message to a single receiver.
    std::vector<upstream_report> load_reports() const;

    /// Whether there is pending evidence of a failure, which should be reported
    /// at once.
    bool has_urgent_evidence() const
    {
        return has_urgent_evidence_;
    }

    /// Whether the load of an upstream differs from what was last reported.
    bool has_load_change() const;

private:
    struct tracked_upstream
    {
        /// Shared with the request path.
        boost::intrusive_ptr<routing::upstream> object;
        /// Health estimates of the upstream's service.
        health::health_estimate_table* estimates = nullptr;
        /// Whether the upstream is in the failure domain of this instance.
        bool in_own_domain = false;
        /// Load in the last report.
        unsigned reported_in_flight = 0;
        /// Evidence since the last report, in log-odds units.
        double pending_evidence = 0;
    };

    struct tracked_service
    {
        /// Upstreams as published to the request path.
        routing::upstream_table::pointer table;
        /// Health estimates of the upstreams.
        health::health_estimate_table estimates;
    };

    void update_crossed_standings(core::time_point now);
    void update_standings(core::service_name const& name,
                          tracked_service& service,
                          core::time_point now);
    bool is_in_own_domain(core::upstream_id const& id) const;
    void log_standing(health::standing_decision const& decision,
                      core::service_name const& service);

    /// Fraction of a service's upstreams that is never avoided.
    double floor_;
    /// Rank of this instance among the live instances of its domain.
    membership::domain_rank observers_;
    std::map<core::service_name, tracked_service> services_;
    /// Upstreams by short_hash() of their id.
    std::unordered_map<std::uint32_t, tracked_upstream> upstreams_;
    /// Last logged standing of each upstream.
    std::unordered_map<core::upstream_id, health::upstream_standing>
        logged_standings_;
    bool has_urgent_evidence_ = false;
    bool has_new_upstreams_ = false;
};

/// 32-bit hash that identifies an upstream in messages.
std::uint32_t short_hash(core::upstream_id const& id);

} // namespace kumquatloom::hosting

#endif
