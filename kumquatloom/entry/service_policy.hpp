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

/// How the requests of each service are placed, retried and hedged.
struct service_policy
{
    /// Pays for attempts after the first, for each service by itself.
    limits::retry_budget_settings budget;
    /// Bounds on attempts one after the other.
    request::retry_settings retries;
    /// Bounds on attempts beside each other.
    request::hedge_settings hedging;
    /// How the latency is estimated after which a request is hedged.
    limits::latency_quantile_settings latency;
    /// Which requests are refused because they cannot be answered in time.
    limits::deadline_admission_settings admission;
    /// How long after its target a request may still be started, in hundredths
    /// of the target. Those that wait longer are refused: under a lasting
    /// overload they would wait in vain.
    unsigned patience_percent = 100;
    /// By what an upstream is chosen.
    routing::balancing_policy balancing =
        routing::balancing_policy::load_and_latency;
    /// Whether the attempts in flight to an upstream are limited by its
    /// latency. That needs services whose requests take similar times.
    bool adaptive_concurrency = true;
    /// Longest time that a connection may have been idle before it carries a
    /// request that must not run twice: an upstream that has forgotten the
    /// connection resets it, and then nothing tells whether the request ran.
    std::chrono::milliseconds max_idle_non_idempotent{20000};
    /// Memory for tickets, and for shares of limits. Where requests have
    /// neither, little of it is enough.
    request::ticket_table_settings tickets;
    limits::share_table_settings shares;
};

} // namespace kumquatloom::entry

#endif
