#include <kumquatloom/request/hedge_decider.hpp>
#include <kumquatloom/request/take_retry.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::request
{

hedge_decider::hedge_decider(hedge_settings settings,
                             limits::retry_budget& budget,
                             retry_counters& counters)
    : settings_(settings)
    , budget_(budget)
    , counters_(counters)
{
}

core::time_point hedge_decider::hedge_time(attempt_state const& state,
                                           core::duration p95,
                                           core::time_point latest) const
{
    BOOST_ASSERT(state.attempts() > 0);
    auto const earliest = state.started(0) + settings_.min_delay;
    return std::max(earliest, std::min(state.started(0) + p95, latest));
}

retry_decision hedge_decider::decide(attempt_state const& state,
                                     core::duration p95,
                                     core::time_point now,
                                     std::size_t max_attempts,
                                     retry_claim const& claim,
                                     core::time_point latest) const
{
    auto denied = denial_reason(state, p95, now, max_attempts, latest);
    if (!denied)
        denied = take_retry(budget_, claim, now);
    if (denied)
    {
        counters_.denied.increment(*denied);
        return core::failure(*denied);
    }
    counters_.retries.increment(retry_reason::hedge);
    return core::success(retry_reason::hedge);
}

std::optional<retry_denied_reason>
hedge_decider::denial_reason(attempt_state const& state,
                             core::duration p95,
                             core::time_point now,
                             std::size_t max_attempts,
                             core::time_point latest) const
{
    if (state.final_outcome() == outcome::completed)
        return retry_denied_reason::completed;
    if (state.is_caller_disconnected())
        return retry_denied_reason::caller_gone;
    if (state.repeat() != idempotency::idempotent)
        return retry_denied_reason::may_have_run;
    if (state.attempts() != 1 || state.running() != 1 || max_attempts < 2)
        return retry_denied_reason::too_many_attempts;
    if (now < hedge_time(state, p95, latest))
        return retry_denied_reason::not_late;
    if (state.request_deadline().remaining(now) < settings_.min_remaining_time)
        return retry_denied_reason::no_time_left;
    return std::nullopt;
}

} // namespace kumquatloom::request
