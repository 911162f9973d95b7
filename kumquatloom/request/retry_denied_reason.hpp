#ifndef KUMQUATLOOM_REQUEST_RETRY_DENIED_REASON_HPP
#define KUMQUATLOOM_REQUEST_RETRY_DENIED_REASON_HPP

#include <string_view>

namespace kumquatloom::request
{

/// Why a request gets no further attempt.
enum class retry_denied_reason
{
    /// An attempt has completed.
    completed,
    /// The caller has closed its connection.
    caller_gone,
    /// It is not idempotent and an attempt may have been run.
    may_have_run,
    /// Another attempt is still running.
    attempt_running,
    /// It has had the permitted number of attempts.
    too_many_attempts,
    /// The deadline leaves no useful time.
    no_time_left,
    /// The retry budget is spent.
    budget_spent,
    /// The first attempt is not late enough for a hedge.
    not_late,
    /// The picker has no other upstream.
    no_upstream,
    count
};

/// Text of the metric label.
std::string_view to_string(retry_denied_reason value);

} // namespace kumquatloom::request

#endif
