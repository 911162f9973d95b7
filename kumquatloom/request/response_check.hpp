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

/// A complete answer of an upstream, as it was read.
struct answer_facts
{
    /// Whether the request was a HEAD request, whose answer has no body.
    bool to_head = false;
    /// Status code.
    unsigned status = 0;
    /// Header fields in order.
    std::span<header_field const> fields;
    /// The bytes of the body that were read.
    std::string_view body;
};

/// Verifies that an answer belongs to the request and is complete: the request
/// id is echoed once, the length is stated and equals the body, and a SHA-256
/// content digest (RFC 9530) matches when there is one. In a dialect with
/// signatures a success must carry one, and its body must not be encoded.
response_verdict check_response(answer_facts const& answer,
                                core::request_id const& expected,
                                wire_dialect const& dialect = default_dialect);

} // namespace kumquatloom::request

#endif
