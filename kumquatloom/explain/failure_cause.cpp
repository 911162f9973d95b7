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
        return "no configuration received yet";
    case failure_cause::not_permitted:
        return "not permitted or malformed";
    case failure_cause::caller_left:
        return "caller disconnected";
    case failure_cause::no_free_slot:
        return "no free upstream slot before the deadline";
    case failure_cause::rejected_by_upstreams:
        return "rejected by upstreams";
    case failure_cause::undetected_upstream_failure:
        return "undetected upstream failure";
    case failure_cause::avoided_upstream_failed:
        return "avoided upstream used as a reserve";
    case failure_cause::unreachable:
        return "upstream unreachable";
    case failure_cause::invalid_response:
        return "invalid or incomplete response";
    case failure_cause::upstream_timeout:
        return "upstream timed out";
    case failure_cause::upstream_error:
        return "upstream returned an error";
    case failure_cause::late_queueing:
        return "late: queued for a slot";
    case failure_cause::late_behind_others:
        return "late: waited for earlier requests of its connection";
    case failure_cause::late_retry:
        return "late: an earlier attempt failed";
    case failure_cause::late_upstream:
        return "late: slow upstream";
    case failure_cause::instance_stopped:
        return "instance stopped";
    case failure_cause::unknown:
    case failure_cause::count:
        break;
    }
    return "not determined from the logs";
}

} // namespace kumquatloom::explain
