#ifndef KUMQUATLOOM_ADMISSION_REFUSAL_REASON_HPP
#define KUMQUATLOOM_ADMISSION_REFUSAL_REASON_HPP

#include <kumquatloom/request/outcome.hpp>

#include <string_view>

namespace kumquatloom::admission
{

/// Why an instance answers a request itself instead of an upstream.
enum class refusal_reason
{
    malformed_request,
    method_not_supported,
    /// Content-Length or Transfer-Encoding is invalid or ambiguous.
    bad_framing,
    /// The target is not an absolute path, or an upstream could interpret it as
    /// another path.
    bad_target,
    bad_host,
    /// A reserved request header is malformed or repeated, or a required
    /// request id is missing.
    bad_request_header,
    header_too_large,
    body_too_large,
    no_credential,
    unknown_credential,
    unknown_path,
    organisation_not_permitted,
    region_not_permitted,
    /// The ticket is malformed, forged or belongs to another organisation.
    invalid_ticket,
    rate_limited,
    /// The organisation's quota over the whole fleet is used up.
    over_quota,
    /// The estimated time exceeds the time left until the deadline.
    deadline_too_short,
    /// The request was shed because of its priority, got no upstream slot in
    /// time, or was not run by the upstreams that it was sent to.
    overloaded,
    queue_full,
    /// The request exceeds the limit on buffered requests.
    memory_exhausted,
    no_upstream,
    /// No document is in force yet.
    no_document,
    /// The document may be out of date, so the credential may have been
    /// removed.
    document_unconfirmed,
    /// The instance is leaving.
    draining,
    /// The ticket has been used and its response is not known.
    ticket_used,
    /// The ticket's owner cannot be reached.
    ticket_owner_gone,
    upstream_failure,
    wrong_answer,
    /// The response exceeds the limits on buffered responses.
    answer_too_large,
    deadline_passed,
    count
};

/// Text of the reason in the header field, the JSON body and the metric label.
std::string_view to_string(refusal_reason value);

/// HTTP status of the response.
unsigned http_status(refusal_reason value);

/// Whether the end of a request that is refused for this reason is uncertain,
/// so that its connection cannot be reused.
bool is_framing_unreliable(refusal_reason value);

/// Whether a status tells callers that their request was not run and will not
/// be, in a dialect with wire_dialect::status_states_refusal.
bool implies_not_run(unsigned status);

/// Whether a request carried a ticket header.
enum class ticket_presence
{
    absent,
    present
};

/// Outcome to report with a refusal, unless the attempts show a more definite
/// one. A request with a ticket may be a resend of one that was run, so the
/// outcome of its refusal is unknown, unless its ticket is invalid.
request::outcome outcome_of(refusal_reason value,
                            ticket_presence ticket = ticket_presence::absent);

} // namespace kumquatloom::admission

#endif
