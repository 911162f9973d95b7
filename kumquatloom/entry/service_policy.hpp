#ifndef KUMQUATLOOM_ENTRY_SERVICE_POLICY_HPP
#define KUMQUATLOOM_ENTRY_SERVICE_POLICY_HPP

#include <kumquatloom/limits/deadline_admission.hpp>
#include <kumquatloom/limits/latency_quantile.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/limits/share_table.hpp>
#include <kumquatloom/request/hedge_decider.hpp>
#include <kumquatloom/request/retry_decider.hpp>
#include <kumquatloom/request/ticket_table.hpp>
#include <kumquatloom/routing/balancing_policy.hpp>

#include <chrono>

namespace kumquatloom::entry
{

/// Upstream selection, retry and hedging policy of every service.
struct service_policy
{
    /// Budget of each service for retries and hedges.
    limits::retry_budget_settings budget;
    /// Limits on sequential attempts.
    request::retry_settings retries;
    /// Limits on concurrent attempts.
    request::hedge_settings hedging;
    /// Estimator of the latency after which a request is hedged.
    limits::latency_quantile_settings latency;
    /// Admission control by deadline: refuses requests that can't be answered
    /// in time.
    limits::deadline_admission_settings admission;
    /// How long after the latest start that meets its target latency a queued
    /// request may still be started, in percent of the time that was left until
    /// the target when it was queued. Requests that wait longer are refused,
    /// because under sustained overload their wait would be in vain.
    unsigned max_overrun_percent = 100;
    /// Routes with a time limit of at most this use the cost-aware request
    /// policy, see policy_of(). 0 disables that policy.
    std::chrono::milliseconds short_time_limit{0};
    /// Whether cost-aware requests choose upstreams by their last success and
    /// make fewer trials. Upstreams without a recent success can then get too
    /// few requests, see docs/design/failing-upstreams.md.
    bool prefers_proven_upstreams = false;
    /// Load balancing rule for upstreams.
    routing::balancing_policy balancing =
        routing::balancing_policy::load_and_latency;
    /// Whether an adaptive concurrency limit bounds the attempts in flight to
    /// an upstream by its latency. That requires services whose requests take
    /// similar times.
    bool adaptive_concurrency = true;
    /// Longest idle time of a pooled connection that carries a non-idempotent
    /// request. An upstream that has dropped the connection resets it, and then
    /// it is unknown whether the request ran.
    std::chrono::milliseconds max_idle_non_idempotent{20000};
    /// Capacities of the tables of tickets and rate limit shares. Deployments
    /// that use neither need only small tables.
    request::ticket_table_settings tickets;
    limits::share_table_settings shares;
};

} // namespace kumquatloom::entry

#endif
