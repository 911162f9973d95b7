#ifndef KUMQUATLOOM_REQUEST_WIRE_DIALECT_HPP
#define KUMQUATLOOM_REQUEST_WIRE_DIALECT_HPP

#include <kumquatloom/request/header_names.hpp>

#include <string_view>

namespace kumquatloom::request
{

/// The names of the header fields that callers, this system and upstreams use.
/// An empty name means that the dialect has no such field. The defaults are
/// this system's own protocol.
struct wire_dialect
{
    /// How long the sender of a request still waits, in milliseconds.
    std::string_view deadline = header_names::deadline_ms;
    /// Identifies a request. Upstreams echo it.
    std::string_view request_id = header_names::request_id;
    /// Whether upstreams receive the caller's request id. Otherwise each
    /// attempt gets its own id.
    bool keeps_request_id = false;
    /// Carries the caller's credential, as the whole value of the field; empty
    /// if callers send a bearer token in Authorization.
    std::string_view credential;
    /// Tells the upstream the organisation.
    std::string_view organisation = header_names::organisation;
    /// Names the upstream for which a request is meant. A different upstream
    /// that has taken over the address responds with 421 and does not run it.
    std::string_view expected_upstream;
    /// Present in every response that an upstream itself, not an intermediary,
    /// has produced.
    std::string_view signature;
    /// States that the upstream is leaving, and the value that says so.
    std::string_view leaving = header_names::state;
    std::string_view leaving_value = header_names::leaving;
    /// States that an upstream did not run the request.
    std::string_view refusal = header_names::outcome;
    /// Value of the refusal field that counts; empty if any value counts.
    std::string_view refusal_value = header_names::not_run;
    /// Status that a refusal must have; 0 if any status is accepted.
    unsigned refusal_status = 503;
    /// Whether callers take the statuses 408, 421, 429 and 503 to mean that a
    /// request was not run. Such a status must then not be passed on without
    /// proof that the request was not run.
    bool status_states_refusal = false;
    /// Header fields of callers for tickets, idempotency and priority.
    std::string_view ticket = header_names::ticket;
    std::string_view idempotent = header_names::idempotent;
    std::string_view priority = header_names::priority;
    /// Prefix of the paths that the system serves itself.
    std::string_view reserved_path_prefix = "/.kumquatloom/";
};

/// This system's own protocol.
inline constexpr wire_dialect default_dialect{};

} // namespace kumquatloom::request

#endif
