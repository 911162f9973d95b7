#include <kumquatloom/explain/failure_cause.hpp>

namespace kumquatloom::explain
{

std::string_view to_string(failure_cause cause)
{
    switch (cause)
    {
    case failure_cause::none:
        return "served in time";
    case failure_cause::no_configuration:
        return "no configuration known yet";
    case failure_cause::not_allowed:
        return "not allowed or malformed";
    case failure_cause::caller_left:
        return "caller left";
    case failure_cause::no_free_slot:
        return "no free slot in time";
    case failure_cause::refused_by_upstreams:
        return "refused by upstreams";
    case failure_cause::new_gray_upstream:
        return "upstream newly gray";
    case failure_cause::reserve_failed:
        return "avoided upstream used as a reserve";
    case failure_cause::unreachable:
        return "upstream unreachable";
    case failure_cause::wrong_answer:
        return "wrong or partial answer";
    case failure_cause::silent_upstream:
        return "upstream silent";
    case failure_cause::upstream_error:
        return "upstream's own error";
    case failure_cause::late_waiting:
        return "late: waited for a slot";
    case failure_cause::late_retry:
        return "late: an earlier attempt failed";
    case failure_cause::late_upstream:
        return "late: slow upstream";
    case failure_cause::instance_ended:
        return "instance ended";
    case failure_cause::unknown:
    case failure_cause::count:
        break;
    }
    return "not shown by the logs";
}

} // namespace kumquatloom::explain
