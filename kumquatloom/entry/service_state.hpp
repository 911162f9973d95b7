#ifndef KUMQUATLOOM_ENTRY_SERVICE_STATE_HPP
#define KUMQUATLOOM_ENTRY_SERVICE_STATE_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/rcu_cell.hpp>
#include <kumquatloom/entry/service_policy.hpp>
#include <kumquatloom/limits/concurrency_limit.hpp>
#include <kumquatloom/limits/deadline_admission.hpp>
#include <kumquatloom/limits/latency_quantile.hpp>
#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/shortage_refusal.hpp>
#include <kumquatloom/routing/picker.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <map>
#include <unordered_map>

namespace kumquatloom::entry
{

/// The adaptive concurrency limit of one upstream, shared by all threads.
struct upstream_limit : boost::intrusive_ref_counter<upstream_limit>
{
    /// The limit starts at `slots` and never exceeds it.
    explicit upstream_limit(unsigned slots)
        : concurrency({}, slots)
    {
    }

    /// Adapts to the latency of the upstream.
    limits::concurrency_limit concurrency;
};

/// A snapshot of a service's concurrency limits.
struct upstream_limits : boost::intrusive_ref_counter<upstream_limits>
{
    /// Limits by upstream, which the picker's table keeps alive.
    std::unordered_map<routing::upstream const*,
                       boost::intrusive_ptr<upstream_limit>>
        by_upstream;
};

/// State of one service, shared by all threads. It is kept up to date until the
/// last request has ended after the document has dropped the service.
struct service_state : boost::intrusive_ref_counter<service_state>
{
    /// Starts without upstreams. The counters must outlive the service.
    service_state(core::service_name service,
                  service_policy const& policy,
                  request::retry_counters& counters,
                  core::time_point now)
        : name(std::move(service))
        , max_overrun_percent(policy.max_overrun_percent)
        , retry_percent(policy.budget.percent_of_requests)
        , picker(policy.balancing)
        , budget(policy.budget, now)
        , retries(policy.retries, budget, counters)
        , hedging(policy.hedging, budget, counters)
        , admission(policy.admission)
        , latency(policy.latency)
    {
    }

    core::service_name const name;
    /// See service_policy::max_overrun_percent.
    unsigned const max_overrun_percent;
    /// Retries that the budget allows for every 100 requests.
    unsigned const retry_percent;
    /// Chooses the upstream of each attempt.
    routing::picker picker;
    /// Budget for retries and hedges. Each service has its own, so that a
    /// failing service can't use up the budget of others.
    limits::retry_budget budget;
    /// Decides about retries.
    request::retry_decider const retries;
    /// Decides about hedged attempts.
    request::hedge_decider const hedging;
    /// Refuses requests that cannot be answered in time.
    limits::deadline_admission admission;
    /// Estimates the latency after which a request is hedged.
    limits::latency_quantile latency;
    /// Concurrency limits of the current upstreams.
    core::rcu_cell<upstream_limits> limits;
    /// Whether the document has dropped the service, so that it gets no new
    /// requests.
    std::atomic<bool> retired{false};
    /// Total slots of all upstreams that are not leaving.
    std::atomic<std::size_t> slots{0};
    /// Whether the service has had requests of the cost-aware and of the
    /// standard policy; see policy_of().
    std::atomic<bool> has_cost_aware_requests{false};
    std::atomic<bool> has_standard_requests{false};
    /// When the last cost-aware request began that can be repeated, in ticks of
    /// the clock; 0 if there was none.
    std::atomic<core::duration::rep> last_repeatable_at{0};
    /// Requests that wait for a slot.
    std::atomic<std::size_t> waiting{0};
    /// Cost-aware requests that were refused for lack of room, by priority.
    std::array<core::counter_family<limits::shortage_refusal>,
               static_cast<std::size_t>(limits::priority::count)>
        shortage_refusals;
};

/// A snapshot of the services of one document, and of earlier ones that still
/// have requests.
struct service_table : boost::intrusive_ref_counter<service_table>
{
    /// Services by name.
    std::map<core::service_name, boost::intrusive_ptr<service_state>> services;
};

} // namespace kumquatloom::entry

#endif
