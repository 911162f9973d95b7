#ifndef KUMQUATLOOM_HOSTING_UPSTREAM_TRACKER_HPP
#define KUMQUATLOOM_HOSTING_UPSTREAM_TRACKER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/health_estimate_table.hpp>
#include <kumquatloom/hosting/upstream_estimate.hpp>
#include <kumquatloom/hosting/upstream_report.hpp>
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

/// What this instance and its neighbours know of all upstreams: load and
/// sickness, and what is still to be told. Belongs to one thread.
class upstream_tracker
{
public:
    /// Avoids at most the part of a service's upstreams above the floor.
    explicit upstream_tracker(double floor);

    /// Takes over the upstreams of a service.
    void track(core::service_name const& service,
               routing::upstream_table::pointer table,
               core::time_point now);

    /// Forgets services that are not named.
    void keep(std::vector<core::service_name> const& services);

    /// Adds a result of this instance.
    void record(routing::upstream const& target,
                health::attempt_report const& report,
                core::time_point now);

    /// Adds the evidence of others, each piece with the part of its weight
    /// that it has here.
    void merge(std::vector<upstream_report> const& reports,
               double trust,
               core::time_point now);

    /// Takes over what a neighbour believes that has been running for longer.
    void adopt(std::vector<upstream_estimate> const& beliefs,
               core::time_point now);

    /// Upstreams that are avoided, for a new neighbour.
    std::vector<upstream_estimate> beliefs(core::time_point now) const;

    /// Stores what others have in flight at all upstreams.
    void update_neighbour_load(remote_load_table const& loads);

    /// The same for those upstreams whose load has changed.
    void update_neighbour_load(remote_load_table const& loads,
                               std::vector<std::uint32_t> const& changed);

    /// States the place of this instance among the observers of its domain.
    void assign_observer_index(std::size_t place);

    /// Decides how each upstream is to be treated.
    void decide(core::time_point now);

    /// What is to be told to all neighbours now. Evidence is told once.
    std::vector<upstream_report> take_reports();

    /// The load, for a single neighbour.
    std::vector<upstream_report> load_reports() const;

    /// Whether there is bad news, which should not wait.
    bool has_bad_news() const
    {
        return bad_news_;
    }

    /// Whether anything differs from what was told last.
    bool has_news() const;

private:
    /// One upstream.
    struct known_upstream
    {
        /// What requests use.
        boost::intrusive_ptr<routing::upstream> object;
        /// Where its sickness is judged.
        health::health_estimate_table* sickness = nullptr;
        /// Whether it is in the failure domain of this instance.
        bool is_near = false;
        /// Load that was told last.
        unsigned told = 0;
        /// Evidence that was not told yet.
        double evidence = 0;
    };

    /// One service.
    struct known_service
    {
        /// Its upstreams.
        routing::upstream_table::pointer table;
        /// Judges them.
        health::health_estimate_table sickness;
    };

    bool is_near(core::upstream_id const& id) const;
    void log_standing(health::standing_decision const& decision,
                      core::service_name const& service);

    /// Part of a service's upstreams that is never avoided.
    double floor_;
    /// See assign_observer_index().
    std::size_t place_ = 0;
    /// Services by name.
    std::map<core::service_name, known_service> services_;
    /// Upstreams by the hash of their id.
    std::unordered_map<std::uint32_t, known_upstream> upstreams_;
    /// Standings that were logged last.
    std::unordered_map<core::upstream_id, health::upstream_standing> logged_;
    /// See has_bad_news().
    bool bad_news_ = false;
};

/// The hash by which neighbours name an upstream.
std::uint32_t short_hash(core::upstream_id const& id);

} // namespace kumquatloom::hosting

#endif
