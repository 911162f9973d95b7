#ifndef KUMQUATLOOM_REQUEST_RESPONSE_CHECK_HPP
#define KUMQUATLOOM_REQUEST_RESPONSE_CHECK_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/request/header_field.hpp>
#include <kumquatloom/request/response_verdict.hpp>
#include <kumquatloom/request/wire_dialect.hpp>

#include <span>
#include <string_view>

namespace kumquatloom::request
{

/// A complete response as it was read from an upstream.
struct upstream_response
{
    /// Whether the request was a HEAD request, whose response has no body.
    bool is_head_request = false;
    unsigned status = 0;
    /// Header fields in the order received.
    std::span<header_field const> fields;
    /// The bytes of the body that were read.
    std::string_view body;
};

/// Verifies that a response is final, echoes the request id once, and matches
/// its Content-Length and, if there is one, its SHA-256 Content-Digest (RFC
/// 9530). A dialect may require a signature field and an unencoded body.
response_verdict check_response(upstream_response const& response,
                                core::request_id const& expected,
                                wire_dialect const& dialect = default_dialect);

} // namespace kumquatloom::request

#endif
