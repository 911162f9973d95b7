#include <kumquatloom/health/health_estimate_settings.hpp>

namespace kumquatloom::health
{

double health_estimate_settings::weight(attempt_result result,
                                        bool is_late) const
{
    switch (result)
    {
    case attempt_result::success:
        return is_late ? late : success;
    case attempt_result::upstream_error:
        return error;
    case attempt_result::timeout:
        return silent;
    case attempt_result::connect_failure:
        return unreachable;
    case attempt_result::wrong_answer:
    case attempt_result::cut_short:
        return broken;
    // A refusal tells about load and a cancellation about the caller.
    case attempt_result::refused:
    case attempt_result::cancelled:
    case attempt_result::count:
        break;
    }
    return 0;
}

} // namespace kumquatloom::health
