#include <kumquatloom/admission/refusal_reason.hpp>

namespace kumquatloom::admission
{

namespace
{

/// Outcome of a request without a ticket.
request::outcome outcome_without_ticket(refusal_reason value)
{
    switch (value)
    {
    case refusal_reason::malformed_request:
    case refusal_reason::method_not_supported:
    case refusal_reason::bad_framing:
    case refusal_reason::bad_target:
    case refusal_reason::bad_host:
    case refusal_reason::bad_request_header:
    case refusal_reason::header_too_large:
    case refusal_reason::body_too_large:
    case refusal_reason::no_credential:
    case refusal_reason::unknown_credential:
    case refusal_reason::unknown_path:
    case refusal_reason::organisation_not_permitted:
    case refusal_reason::region_not_permitted:
    case refusal_reason::invalid_ticket:
    case refusal_reason::rate_limited:
    case refusal_reason::over_quota:
    case refusal_reason::deadline_too_short:
    case refusal_reason::overloaded:
    case refusal_reason::queue_full:
    case refusal_reason::memory_exhausted:
    case refusal_reason::no_upstream:
    case refusal_reason::no_document:
    case refusal_reason::document_unconfirmed:
    case refusal_reason::draining:
        return request::outcome::not_run;
    case refusal_reason::ticket_used:
    case refusal_reason::ticket_owner_gone:
    case refusal_reason::upstream_failure:
    case refusal_reason::wrong_answer:
    case refusal_reason::answer_too_large:
    case refusal_reason::deadline_passed:
    case refusal_reason::count:
        break;
    }
    return request::outcome::unknown;
}

} // namespace

std::string_view to_string(refusal_reason value)
{
    switch (value)
    {
    case refusal_reason::malformed_request:
        return "malformed-request";
    case refusal_reason::method_not_supported:
        return "method-not-supported";
    case refusal_reason::bad_framing:
        return "bad-framing";
    case refusal_reason::bad_target:
        return "bad-target";
    case refusal_reason::bad_host:
        return "bad-host";
    case refusal_reason::bad_request_header:
        return "bad-request-header";
    case refusal_reason::header_too_large:
        return "header-too-large";
    case refusal_reason::body_too_large:
        return "body-too-large";
    case refusal_reason::no_credential:
        return "no-credential";
    case refusal_reason::unknown_credential:
        return "unknown-credential";
    case refusal_reason::unknown_path:
        return "unknown-path";
    case refusal_reason::organisation_not_permitted:
        return "organisation-not-permitted";
    case refusal_reason::region_not_permitted:
        return "region-not-permitted";
    case refusal_reason::invalid_ticket:
        return "invalid-ticket";
    case refusal_reason::rate_limited:
        return "rate-limited";
    case refusal_reason::over_quota:
        return "over-quota";
    case refusal_reason::deadline_too_short:
        return "deadline-too-short";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::queue_full:
        return "queue-full";
    case refusal_reason::memory_exhausted:
        return "memory-exhausted";
    case refusal_reason::no_upstream:
        return "no-upstream";
    case refusal_reason::no_document:
        return "no-document";
    case refusal_reason::document_unconfirmed:
        return "document-unconfirmed";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::ticket_used:
        return "ticket-used";
    case refusal_reason::ticket_owner_gone:
        return "ticket-owner-gone";
    case refusal_reason::upstream_failure:
        return "upstream-failure";
    case refusal_reason::wrong_answer:
        return "wrong-answer";
    case refusal_reason::answer_too_large:
        return "answer-too-large";
    case refusal_reason::deadline_passed:
        return "deadline-passed";
    case refusal_reason::count:
        break;
    }
    return {};
}

unsigned http_status(refusal_reason value)
{
    switch (value)
    {
    case refusal_reason::malformed_request:
    case refusal_reason::method_not_supported:
    case refusal_reason::bad_framing:
    case refusal_reason::bad_target:
    case refusal_reason::bad_host:
    case refusal_reason::bad_request_header:
    case refusal_reason::invalid_ticket:
        return 400;
    case refusal_reason::no_credential:
    case refusal_reason::unknown_credential:
        return 401;
    case refusal_reason::organisation_not_permitted:
    case refusal_reason::region_not_permitted:
        return 403;
    case refusal_reason::unknown_path:
        return 404;
    case refusal_reason::body_too_large:
        return 413;
    case refusal_reason::rate_limited:
    case refusal_reason::over_quota:
        return 429;
    case refusal_reason::header_too_large:
        return 431;
    case refusal_reason::ticket_used:
    case refusal_reason::ticket_owner_gone:
    case refusal_reason::upstream_failure:
    case refusal_reason::wrong_answer:
    case refusal_reason::answer_too_large:
        return 502;
    case refusal_reason::deadline_too_short:
    case refusal_reason::overloaded:
    case refusal_reason::queue_full:
    case refusal_reason::memory_exhausted:
    case refusal_reason::no_upstream:
    case refusal_reason::no_document:
    case refusal_reason::document_unconfirmed:
    case refusal_reason::draining:
        return 503;
    case refusal_reason::deadline_passed:
        return 504;
    case refusal_reason::count:
        break;
    }
    return 0;
}

bool is_framing_unreliable(refusal_reason value)
{
    switch (value)
    {
    case refusal_reason::malformed_request:
    case refusal_reason::method_not_supported:
    case refusal_reason::bad_framing:
    case refusal_reason::bad_host:
    case refusal_reason::header_too_large:
    case refusal_reason::body_too_large:
    case refusal_reason::memory_exhausted:
        return true;
    default:
        return false;
    }
}

bool implies_not_run(unsigned status)
{
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    return status == request_timeout || status == misdirected ||
           status == too_many_requests || status == unavailable;
}

request::outcome outcome_of(refusal_reason value, ticket_presence ticket)
{
    if (ticket == ticket_presence::present &&
        value != refusal_reason::invalid_ticket)
        return request::outcome::unknown;
    return outcome_without_ticket(value);
}

} // namespace kumquatloom::admission
