#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/request/retry_decider.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::request
{

retry_decider::retry_decider(retry_settings settings,
                             limits::retry_budget& budget,
                             retry_counters& counters)
    : settings_(settings)
    , budget_(budget)
    , counters_(counters)
{
}

retry_decision retry_decider::decide(attempt_state const& state,
                                     core::time_point now,
                                     std::size_t max_attempts,
                                     bool is_paid) const
{
    auto denied = denial_reason(state, now, max_attempts);
    // Check the budget last, so that only retries that are not denied for
    // another reason are charged. A retry is free if no upstream has received
    // anything, since it adds no load.
    if (!denied && !is_paid && state.reached_upstream() &&
        !budget_.try_take(now))
        denied = retry_denied_reason::budget_spent;
    if (denied)
    {
        counters_.denied.increment(*denied);
        return core::failure(*denied);
    }
    BOOST_ASSERT(state.last_failure());
    counters_.retries.increment(*state.last_failure());
    return core::success(*state.last_failure());
}

std::optional<retry_denied_reason>
retry_decider::denial_reason(attempt_state const& state,
                             core::time_point now,
                             std::size_t max_attempts) const
{
    if (state.final_outcome() == outcome::completed)
        return retry_denied_reason::completed;
    if (state.is_caller_disconnected())
        return retry_denied_reason::caller_gone;
    if (state.running() > 0)
        return retry_denied_reason::attempt_running;
    if (state.repeat() != idempotency::idempotent && !state.proven_not_run() &&
        !core::is_mutated(core::mutation::retry_unknown_outcome))
        return retry_denied_reason::may_have_run;
    if (state.attempts() >= std::min(settings_.max_attempts, max_attempts))
        return retry_denied_reason::too_many_attempts;
    if (state.request_deadline().remaining(now) < settings_.min_remaining_time)
        return retry_denied_reason::no_time_left;
    return std::nullopt;
}

} // namespace kumquatloom::request
