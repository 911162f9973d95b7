#ifndef KUMQUATLOOM_REQUEST_HEDGE_DECIDER_HPP
#define KUMQUATLOOM_REQUEST_HEDGE_DECIDER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/request/attempt_state.hpp>
#include <kumquatloom/request/retry_counters.hpp>
#include <kumquatloom/request/retry_decider.hpp>

#include <chrono>

namespace kumquatloom::limits
{
class retry_budget;
}

namespace kumquatloom::request
{

/// Bounds on hedging.
struct hedge_settings
{
    /// Least delay before a hedge, so that a service with answers in
    /// microseconds does not hedge on scheduling noise.
    std::chrono::milliseconds min_delay{2};
    /// A hedge with less time than this is not worth starting.
    std::chrono::milliseconds least_time{20};
};

/// Decides whether a slow idempotent request gets a second attempt beside the
/// first. A request is hedged once, out of the retry budget. Used by several
/// threads at once.
class hedge_decider
{
public:
    /// The budget and the counters must outlive the decider.
    hedge_decider(hedge_settings settings,
                  limits::retry_budget& budget,
                  retry_counters& counters);

    /// When to ask, given the 95th percentile of the service's latency.
    core::time_point hedge_time(attempt_state const& state,
                                core::duration p95) const;

    /// Decides and, for a hedge, takes it from the budget. `max_attempts` is
    /// the route's own bound.
    retry_decision
    decide(attempt_state const& state,
           core::duration p95,
           core::time_point now,
           std::size_t max_attempts = retry_decider::no_bound) const;

private:
    /// The reason against a hedge, apart from the budget.
    std::optional<retry_denied_reason>
    objection(attempt_state const& state,
              core::duration p95,
              core::time_point now,
              std::size_t max_attempts) const;

    /// Bounds on hedging.
    hedge_settings settings_;
    /// Paid from for every hedge.
    limits::retry_budget& budget_;
    /// Counters for metrics.
    retry_counters& counters_;
};

} // namespace kumquatloom::request

#endif
