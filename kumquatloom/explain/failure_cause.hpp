#ifndef KUMQUATLOOM_EXPLAIN_FAILURE_CAUSE_HPP
#define KUMQUATLOOM_EXPLAIN_FAILURE_CAUSE_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::explain
{

/// Why a request failed, was rejected or was answered late.
enum class failure_cause : std::uint8_t
{
    /// The request was served in time.
    none,
    /// The instance had no configuration yet.
    no_configuration,
    /// The configuration does not permit the request, or it was malformed.
    not_permitted,
    /// The caller disconnected before the response.
    caller_left,
    /// No upstream slot became free before the deadline.
    no_free_slot,
    /// Upstreams rejected the request without executing it, and no attempt was
    /// left.
    rejected_by_upstreams,
    /// An upstream that was not avoided at that time broke the connection.
    undetected_upstream_failure,
    /// No other upstream was free, so an avoided one received the request and
    /// failed.
    avoided_upstream_failed,
    /// No connection to an upstream could be established.
    unreachable,
    /// An upstream sent an invalid or incomplete response.
    invalid_response,
    /// An upstream did not respond before the timeout.
    upstream_timeout,
    /// The upstream returned an error response.
    upstream_error,
    /// The request was served late and spent more than half of its time in the
    /// queue of the instance.
    late_queueing,
    /// The request was served late and spent more than half of its time waiting
    /// for earlier requests of its connection.
    late_behind_others,
    /// The request was served late because an earlier attempt failed.
    late_retry,
    /// The request was served late by a slow upstream.
    late_upstream,
    /// The instance that handled the request stopped or was killed.
    instance_stopped,
    /// The log lines do not determine the cause.
    unknown,
    /// Number of causes.
    count
};

/// The label of a cause, for printed reports.
std::string_view to_string(failure_cause cause);

} // namespace kumquatloom::explain

#endif
