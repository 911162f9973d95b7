#ifndef KUMQUATLOOM_MEASURE_SHORTAGE_HPP
#define KUMQUATLOOM_MEASURE_SHORTAGE_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace kumquatloom::measure
{

/// Rule by which waiting requests are ordered and refused.
enum class shortage_policy
{
    /// The standard policy of entry::slot_queue.
    standard,
    /// By target, whatever the priority.
    earliest_deadline,
    /// By worth divided by work.
    weighted_shortest,
    /// In the order of arrival; the lower priority is refused once a few
    /// requests wait.
    priority_threshold,
    /// limits::cost_aware_queue with limits::shortage_control and
    /// limits::retry_preference.
    cost_aware,
    /// As cost_aware, without refusing requests that would miss their target.
    cost_aware_late,
    /// As cost_aware, without keeping retries for the higher priority.
    cost_aware_equal_retries,
    /// As cost_aware, with limits::return_order.
    ordered_returns,
    /// As domain_level, with limits::return_order.
    domain_level_ordered_returns,
    /// As cost_aware, with limits::admission_level over the failure domain.
    domain_level,
    /// As cost_aware, with limits::admission_level over the whole fleet.
    fleet_level,
    /// One queue that knows all slots and the work of each request.
    oracle
};

/// What makes room short.
enum class shortage_cause
{
    /// Twice the usual load for 5 s.
    burst,
    /// 1.4 times the capacity.
    overload,
    /// A quarter of the upstreams fails for good.
    lost_domain,
    /// Upstreams refuse 55 % of what they get for 8 s.
    refusals,
    /// One organisation sends seven times its usual load.
    hot_organisation
};

/// Parameters of an experiment in which an instance sees a few slots' worth of
/// a service that two kinds of requests share: lookups (85 ms of work) and
/// confirmations (110 ms, of a higher priority and worth twice as much).
struct shortage_scenario
{
    shortage_policy policy = shortage_policy::cost_aware;
    shortage_cause cause = shortage_cause::burst;
    unsigned instances = 24;
    unsigned upstreams = 24;
    unsigned slots = 3;
    unsigned domains = 4;
    std::uint64_t seed = 1;
};

/// Parses names from the command line. Throws if a name is unknown.
shortage_policy parse_shortage_policy(std::string const& name);
shortage_cause parse_shortage_cause(std::string const& name);

/// Runs the experiment in simulated time. Returns, over the shortage, the worth
/// served by priority, latencies, requests not served by reason, and the part
/// served of the tenth of the organisations that are served worst.
boost::json::object run_shortage(shortage_scenario const& setup);

} // namespace kumquatloom::measure

#endif
