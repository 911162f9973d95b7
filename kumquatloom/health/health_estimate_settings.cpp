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

} // namespace kumquatloom::health
