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

struct hedge_settings
{
    /// Shortest delay before a hedge, so that a service with response times in
    /// the microseconds is not hedged because of scheduling noise.
    std::chrono::milliseconds min_delay{2};
    /// No hedge is started with less time than this until the deadline.
    std::chrono::milliseconds min_remaining_time{20};
};

/// Decides whether a slow idempotent request is hedged: a second attempt runs
/// concurrently with the first one. A request is hedged at most once, and each
/// hedge is charged to the retry budget. Thread-safe.
class hedge_decider
{
public:
    /// The budget and the counters must outlive the decider.
    hedge_decider(hedge_settings settings,
                  limits::retry_budget& budget,
                  retry_counters& counters);

    /// When the request may be hedged, given the 95th percentile of the
    /// service's latency. `latest` is when a hedge must start to be of use;
    /// only `min_delay` makes it later.
    core::time_point
    hedge_time(attempt_state const& state,
               core::duration p95,
               core::time_point latest = core::time_point::max()) const;

    /// Decides, and charges a hedge to the budget. `max_attempts` is the bound
    /// of the route, `claim` what the request may take of the budget.
    retry_decision
    decide(attempt_state const& state,
           core::duration p95,
           core::time_point now,
           std::size_t max_attempts = retry_decider::unlimited,
           retry_claim const& claim = {},
           core::time_point latest = core::time_point::max()) const;

private:
    /// The reason to deny a hedge, apart from the budget.
    std::optional<retry_denied_reason>
    denial_reason(attempt_state const& state,
                  core::duration p95,
                  core::time_point now,
                  std::size_t max_attempts,
                  core::time_point latest) const;

    hedge_settings settings_;
    limits::retry_budget& budget_;
    retry_counters& counters_;
};

} // namespace kumquatloom::request

#endif
