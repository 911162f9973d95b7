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

/// Verifies that a response belongs to the request and is complete: its status
/// is a final one, the request id is echoed exactly once, Content-Length is
/// present and equals the size of the body, and a SHA-256 Content-Digest (RFC
/// 9530) matches if there is one. In a dialect with a signature field, a
/// successful response must carry it and its body must not be encoded.
response_verdict check_response(upstream_response const& response,
                                core::request_id const& expected,
                                wire_dialect const& dialect = default_dialect);

} // namespace kumquatloom::request

#endif
