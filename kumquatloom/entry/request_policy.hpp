#ifndef KUMQUATLOOM_ENTRY_REQUEST_POLICY_HPP
#define KUMQUATLOOM_ENTRY_REQUEST_POLICY_HPP

#include <kumquatloom/admission/admitted_request.hpp>
#include <kumquatloom/entry/service_policy.hpp>

namespace kumquatloom::entry
{

/// How a request is queued, attempted and refused when upstreams are short of
/// slots or fail.
enum class request_policy
{
    /// By latency target, then by priority.
    standard,
    /// By what a delay, a refusal or a failed attempt costs the caller.
    cost_aware
};

/// The policy of a request: cost-aware if organisations compete for the
/// upstreams, or if the time limit of its route is so short that the request
/// cannot wait for a turn.
inline request_policy policy_of(admission::admitted_request const& request,
                                service_policy const& policy)
{
    if (policy.short_time_limit.count() == 0)
        return request_policy::standard;
    bool const has_organisations = !request.table->is_open();
    return has_organisations ||
                   request.route.deadline <= policy.short_time_limit
               ? request_policy::cost_aware
               : request_policy::standard;
}

} // namespace kumquatloom::entry

#endif
