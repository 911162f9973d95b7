#include <kumquatloom/health/health_estimate_settings.hpp>

namespace kumquatloom::health
{

double health_estimate_settings::weight(attempt_result result,
                                        bool is_late) const
{
    switch (result)
    {
    case attempt_result::success:
        return is_late ? late_weight : success_weight;
    case attempt_result::upstream_error:
        return error_weight;
    case attempt_result::timeout:
        return timeout_weight;
    case attempt_result::connect_failure:
        return connect_failure_weight;
    case attempt_result::wrong_answer:
    case attempt_result::cut_short:
        return broken_response_weight;
    // A refusal is evidence of load and a cancellation of the caller's choice,
    // not of the upstream's health.
    case attempt_result::refused:
    case attempt_result::cancelled:
    case attempt_result::count:
        break;
    }
    return 0;
}

health_estimate_settings health_estimate_settings::for_failure_episodes()
{
    using namespace std::chrono_literals;
    health_estimate_settings result;
    // Episodes last for seconds, so that earlier trials fail, and each failed
    // one spends a retry.
    result.first_trial_delay = 1200ms;
    result.trial_interval = 1200ms;
    // The news of a trial takes 50 to 150 ms. Each observer has few requests
    // that may be trials, so that several observers share a turn.
    result.trial_stagger = 60ms;
    result.trial_turns = 8;
    // An upstream answers 0.15 of its requests during an episode, so that two
    // successes are required.
    result.recovery_weight = -2.5;
    return result;
}

} // namespace kumquatloom::health
