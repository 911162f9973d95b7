#ifndef KUMQUATLOOM_REQUEST_WIRE_DIALECT_HPP
#define KUMQUATLOOM_REQUEST_WIRE_DIALECT_HPP

#include <kumquatloom/request/header_names.hpp>

#include <string_view>

namespace kumquatloom::request
{

/// By which header fields callers, this system and upstreams mark their
/// messages. An empty name means that there is no such field. The defaults are
/// the system's own interface.
struct wire_dialect
{
    /// Milliseconds that the sender of a request still waits.
    std::string_view deadline = header_names::deadline_ms;
    /// Identifies a request; upstreams echo it.
    std::string_view request_id = header_names::request_id;
    /// Whether upstreams get the id that the caller sent. Otherwise each
    /// attempt gets an id of its own.
    bool keeps_request_id = false;
    /// Names the organisation to the upstream.
    std::string_view organisation = header_names::organisation;
    /// Names the upstream that a request is meant for. Another one that has
    /// taken over its address answers 421 and does not run the request.
    std::string_view expected_upstream;
    /// Stands in every answer that an upstream has made itself.
    std::string_view signature;
    /// States that an upstream did not run the request.
    std::string_view refusal = header_names::outcome;
    /// The value that the field needs to say so; empty if any value does.
    std::string_view refusal_value = header_names::not_run;
    /// The status that must come with it; 0 if any may.
    unsigned refusal_status = 503;
    /// Whether the statuses 408, 421, 429 and 503 tell callers that a request
    /// was not run, so that none may be passed on without that proof.
    bool status_states_refusal = false;
    /// The caller's own marks for tickets, idempotency and priority.
    std::string_view ticket = header_names::ticket;
    std::string_view idempotent = header_names::idempotent;
    std::string_view priority = header_names::priority;
    /// Prefix of the paths that the system answers itself.
    std::string_view reserved_path_prefix = "/.kumquatloom/";
};

/// The system's own interface.
inline constexpr wire_dialect default_dialect{};

} // namespace kumquatloom::request

#endif
