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

/// The header of a request as the HTTP parser read it. All views point into
/// the parser's message, which outlives the facts.
struct request_header_view
{
    /// Method.
    std::string_view method;
    /// Request target as received.
    std::string_view target;
    /// Version: 10 times the major plus the minor number.
    unsigned version = 11;
    /// All header fields in the order received.
    std::span<header_field const> fields;
    /// Length by which the parser will read the body, if it has one.
    std::optional<std::uint64_t> content_length;
    /// Whether the parser will read the body by a transfer coding.
    bool transfer_coding = false;
};

} // namespace kumquatloom::admission

#endif
