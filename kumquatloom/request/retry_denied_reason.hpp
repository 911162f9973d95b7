#ifndef KUMQUATLOOM_REQUEST_RETRY_DENIED_REASON_HPP
#define KUMQUATLOOM_REQUEST_RETRY_DENIED_REASON_HPP

#include <string_view>

namespace kumquatloom::request
{

/// Why a request is not retried or hedged.
enum class retry_denied_reason
{
    /// An attempt has completed.
    completed,
    /// The caller has closed its connection.
    caller_gone,
    /// The request is not idempotent and an attempt may have been run.
    may_have_run,
    /// Another attempt is still running.
    attempt_running,
    /// The request has used all permitted attempts.
    too_many_attempts,
    /// Too little time remains until the deadline.
    no_time_left,
    /// The retry budget is spent.
    budget_spent,
    /// The retry budget is kept for requests of a higher priority.
    kept_for_urgent,
    /// The first attempt has not run long enough for a hedge.
    not_late,
    /// The picker has no other upstream to offer.
    no_upstream,
    count
};

/// The value of the metric label.
std::string_view to_string(retry_denied_reason value);

} // namespace kumquatloom::request

#endif
