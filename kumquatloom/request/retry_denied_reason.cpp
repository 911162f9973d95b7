#include <kumquatloom/request/retry_denied_reason.hpp>

namespace kumquatloom::request
{

std::string_view to_string(retry_denied_reason value)
{
    switch (value)
    {
    case retry_denied_reason::completed:
        return "completed";
    case retry_denied_reason::caller_gone:
        return "caller-gone";
    case retry_denied_reason::may_have_run:
        return "may-have-run";
    case retry_denied_reason::attempt_running:
        return "attempt-running";
    case retry_denied_reason::too_many_attempts:
        return "too-many-attempts";
    case retry_denied_reason::no_time_left:
        return "no-time-left";
    case retry_denied_reason::budget_spent:
        return "budget-spent";
    case retry_denied_reason::kept_for_urgent:
        return "kept-for-urgent";
    case retry_denied_reason::not_late:
        return "not-late";
    case retry_denied_reason::no_upstream:
        return "no-upstream";
    case retry_denied_reason::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::request
