#ifndef KUMQUATLOOM_REQUEST_RETRY_COUNTERS_HPP
#define KUMQUATLOOM_REQUEST_RETRY_COUNTERS_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/request/outcome.hpp>
#include <kumquatloom/request/response_verdict.hpp>
#include <kumquatloom/request/retry_denied_reason.hpp>
#include <kumquatloom/request/retry_reason.hpp>
#include <kumquatloom/request/sent_state.hpp>

namespace kumquatloom::request
{

/// Metrics about attempts and their responses, shared by all threads.
struct retry_counters
{
    /// Retries and hedges, by reason.
    core::counter_family<retry_reason> retries;
    /// Denied retries and hedges, by reason.
    core::counter_family<retry_denied_reason> denied;
    /// Requests, by outcome.
    core::counter_family<outcome> outcomes;
    /// Finished attempts, by how far they got in sending the request.
    core::counter_family<sent_state> attempts;
    /// Responses of upstreams, by the result of their verification.
    core::counter_family<response_verdict> responses;
};

} // namespace kumquatloom::request

#endif
