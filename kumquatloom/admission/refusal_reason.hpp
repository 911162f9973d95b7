#ifndef KUMQUATLOOM_ADMISSION_REFUSAL_REASON_HPP
#define KUMQUATLOOM_ADMISSION_REFUSAL_REASON_HPP

#include <kumquatloom/request/outcome.hpp>

#include <string_view>

namespace kumquatloom::admission
{

/// Why the system answers a request itself.
enum class refusal_reason
{
    malformed_request,
    method_not_supported,
    /// Content-Length and Transfer-Encoding are ambiguous.
    bad_framing,
    /// The target is not a plain path, or could mean different paths here and
    /// at the upstream.
    bad_target,
    bad_host,
    /// One of the system's own request headers is malformed or repeated.
    bad_request_header,
    header_too_large,
    body_too_large,
    no_credential,
    unknown_credential,
    unknown_path,
    organisation_not_permitted,
    region_not_permitted,
    /// The ticket is malformed, forged or another organisation's.
    invalid_ticket,
    rate_limited,
    /// The estimated time exceeds the time that is left.
    deadline_too_short,
    /// Shed by priority.
    overloaded,
    queue_full,
    no_upstream,
    /// No document is in force yet.
    no_document,
    /// The instance is leaving.
    draining,
    /// The ticket is used and its response is not known.
    ticket_used,
    /// The ticket's owner cannot be reached.
    ticket_owner_gone,
    upstream_failure,
    wrong_answer,
    /// The answer does not fit the bounds on buffered answers.
    answer_too_large,
    deadline_passed,
    count
};

/// Text of the header field, the JSON body and the metric label.
std::string_view to_string(refusal_reason value);

/// HTTP status of the answer.
unsigned http_status(refusal_reason value);

/// Whether the request's header itself was refused, so that another recipient
/// could find its end elsewhere.
bool is_framing_unreliable(refusal_reason value);

/// Whether a status tells callers that their request was not run and never
/// will be.
bool implies_not_run(unsigned status);

/// Whether a request carried a ticket header.
enum class ticket_presence
{
    absent,
    present
};

/// Outcome that the answer states unless attempts prove a better one. A
/// request with a ticket may be a resend of one that was run, so that refusing
/// it says nothing about the request; only an invalid ticket was never run.
request::outcome outcome_of(refusal_reason value,
                            ticket_presence ticket = ticket_presence::absent);

} // namespace kumquatloom::admission

#endif
