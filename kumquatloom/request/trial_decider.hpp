#ifndef KUMQUATLOOM_REQUEST_TRIAL_DECIDER_HPP
#define KUMQUATLOOM_REQUEST_TRIAL_DECIDER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/request/idempotency.hpp>

#include <cstddef>

namespace kumquatloom::request
{

/// What decides whether the first attempt of a request may be a trial at an
/// avoided upstream, apart from the retry budget.
struct trial_conditions
{
    /// Whether the request may be executed more than once.
    idempotency repeat = idempotency::not_idempotent;
    /// Most attempts of the request.
    std::size_t max_attempts = 0;
    /// Time until the response is due.
    core::duration remaining{};
    /// Mean time of an attempt at a healthy upstream; 0 if unknown.
    core::duration attempt_time{};
};

/// Whether the caller still gets a timely response if the trial fails: the
/// request may be repeated, has a second attempt, and time for it after a trial
/// that takes as long as a successful attempt.
inline bool may_carry_trial(trial_conditions const& conditions)
{
    return conditions.repeat == idempotency::idempotent &&
           conditions.max_attempts > 1 &&
           conditions.remaining >= 2 * conditions.attempt_time;
}

} // namespace kumquatloom::request

#endif
