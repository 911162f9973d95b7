#ifndef KUMQUATLOOM_ADMISSION_REQUEST_HEADER_VIEW_HPP
#define KUMQUATLOOM_ADMISSION_REQUEST_HEADER_VIEW_HPP

#include <kumquatloom/request/header_field.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace kumquatloom::admission
{

using request::header_field;

/// The header of a request as the HTTP parser read it. All views refer to the
/// parser's message, which must outlive this object.
struct request_header_view
{
    std::string_view method;
    /// Request target as received.
    std::string_view target;
    /// HTTP version: 10 times the major plus the minor number.
    unsigned version = 11;
    /// All header fields in the order received.
    std::span<header_field const> fields;
    /// Body length that the parser takes from Content-Length, if any.
    std::optional<std::uint64_t> content_length;
    /// Whether the parser decodes a transfer coding of the body.
    bool transfer_coding = false;
};

} // namespace kumquatloom::admission

#endif
