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

/// Counters about attempts, shared by all threads.
struct retry_counters
{
    /// Further attempts, by reason.
    core::counter_family<retry_reason> retries;
    /// Further attempts that were not made, by reason.
    core::counter_family<retry_denied_reason> denied;
    /// Answered requests, by outcome.
    core::counter_family<outcome> outcomes;
    /// Ended attempts, by how far they got.
    core::counter_family<sent_state> attempts;
    /// Answers of upstreams, by what their verification found.
    core::counter_family<response_verdict> answers;
};

} // namespace kumquatloom::request

#endif
