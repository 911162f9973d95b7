#ifndef KUMQUATLOOM_ENTRY_SERVICE_STATE_HPP
#define KUMQUATLOOM_ENTRY_SERVICE_STATE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/entry/service_policy.hpp>
#include <kumquatloom/limits/concurrency_limit.hpp>
#include <kumquatloom/limits/deadline_admission.hpp>
#include <kumquatloom/limits/latency_quantile.hpp>
#include <kumquatloom/routing/picker.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <cstddef>
#include <map>
#include <unordered_map>

namespace kumquatloom::entry
{

/// The concurrency limit towards one upstream, shared by all threads.
struct upstream_limit : boost::intrusive_ref_counter<upstream_limit>
{
    /// Starts at the upstream's number of slots.
    explicit upstream_limit(unsigned slots)
        : concurrency({}, slots)
    {
    }

    /// Follows the latency of the upstream.
    limits::concurrency_limit concurrency;
};

/// The concurrency limits of a service at one time, by upstream.
struct upstream_limits : boost::intrusive_ref_counter<upstream_limits>
{
    /// Limits by the upstream's object, which the picker's table keeps alive.
    std::unordered_map<routing::upstream const*,
                       boost::intrusive_ptr<upstream_limit>>
        by_upstream;
};

/// What all threads share about one service. It outlives the document that
/// names it while requests use it.
struct service_state : boost::intrusive_ref_counter<service_state>
{
    /// Starts without an upstream. The counters must outlive the service.
    service_state(core::service_name given,
                  service_policy const& policy,
                  request::retry_counters& counters,
                  core::time_point now)
        : name(std::move(given))
        , patience_percent(policy.patience_percent)
        , picker(policy.balancing)
        , budget(policy.budget, now)
        , retries(policy.retries, budget, counters)
        , hedging(policy.hedging, budget, counters)
        , admission(policy.admission)
        , latency(policy.latency)
    {
    }

    /// Name of the service.
    core::service_name const name;
    /// See service_policy::patience_percent.
    unsigned const patience_percent;
    /// Chooses the upstream of each attempt.
    routing::picker picker;
    /// Pays for attempts after the first, so that a sick service cannot spend
    /// what the others need.
    limits::retry_budget budget;
    /// Decides about another attempt after a failed one.
    request::retry_decider const retries;
    /// Decides about a second attempt beside the first.
    request::hedge_decider const hedging;
    /// Refuses requests that cannot be answered in time.
    limits::deadline_admission admission;
    /// Estimates the latency after which a request is hedged.
    limits::latency_quantile latency;
    /// The concurrency limits of the present upstreams.
    core::rcu_cell<upstream_limits> limits;
    /// Slots of all live upstreams.
    std::atomic<std::size_t> slots{0};
    /// Requests that wait for a slot.
    std::atomic<std::size_t> waiting{0};
};

/// The services of one document.
struct service_table : boost::intrusive_ref_counter<service_table>
{
    /// Services by name.
    std::map<core::service_name, boost::intrusive_ptr<service_state>> services;
};

} // namespace kumquatloom::entry

#endif
