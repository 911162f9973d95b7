#include <kumquatloom/admission/header_check.hpp>
#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/admission/target_check.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace kumquatloom::admission
{

namespace
{

using request::count_fields;
using request::find_field;
using request::same_name;

/// HTTP/1.1.
constexpr unsigned supported_version = 11;
/// Size of ": " and CR LF.
constexpr std::size_t field_overhead_bytes = 4;
/// CONNECT and TRACE are excluded: CONNECT opens a tunnel and TRACE echoes
/// credentials.
constexpr std::array<std::string_view, 7> supported_methods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"};
/// Fields that may occur at most once, because two recipients could use
/// different occurrences.
constexpr std::array<std::string_view, 4> non_repeatable_fields = {
    "Authorization", "Content-Type", "Expect", "Content-Digest"};

bool is_token_character(char character)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           punctuation.find(character) != punctuation.npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_character);
}

/// Whether a field value contains no control character other than the tab.
bool is_field_value(std::string_view text)
{
    return std::all_of(
        text.begin(),
        text.end(),
        [](char character)
        {
            auto const byte = static_cast<unsigned char>(character);
            return character == '\t' || (byte >= ' ' && byte != 0x7F);
        });
}

std::optional<refusal_reason>
check_request_line(request_header_view const& header)
{
    if (std::find(supported_methods.begin(),
                  supported_methods.end(),
                  header.method) == supported_methods.end())
        return refusal_reason::method_not_supported;
    if (header.version != supported_version)
        return refusal_reason::malformed_request;
    if (!is_unambiguous_target(header.target))
        return refusal_reason::bad_target;
    return std::nullopt;
}

std::optional<refusal_reason> check_syntax(request_header_view const& header)
{
    for (auto const& field : header.fields)
        if (!is_token(field.name) || !is_field_value(field.value))
            return refusal_reason::malformed_request;
    for (auto const name : non_repeatable_fields)
        if (count_fields(header.fields, name) > 1)
            return refusal_reason::malformed_request;
    return std::nullopt;
}

/// Whether a Host value contains only characters of a host and a port.
bool is_host(std::string_view text)
{
    constexpr std::string_view punctuation = "-._~[]:";
    return !text.empty() &&
           std::all_of(text.begin(),
                       text.end(),
                       [&](char character)
                       {
                           return (character >= 'a' && character <= 'z') ||
                                  (character >= 'A' && character <= 'Z') ||
                                  (character >= '0' && character <= '9') ||
                                  punctuation.find(character) !=
                                      punctuation.npos;
                       });
}

std::optional<refusal_reason> check_host(request_header_view const& header)
{
    auto const host = find_field(header.fields, "Host");
    if (count_fields(header.fields, "Host") != 1 || !is_host(*host))
        return refusal_reason::bad_host;
    return std::nullopt;
}

/// Checks the fields that control the connection.
std::optional<refusal_reason>
check_connection(request_header_view const& header)
{
    if (count_fields(header.fields, "Upgrade") > 0)
        return refusal_reason::method_not_supported;
    auto const expect = find_field(header.fields, "Expect");
    if (expect && !same_name(*expect, "100-continue"))
        return refusal_reason::malformed_request;
    // A field that Connection lists is removed before forwarding, so it must
    // not be an essential one.
    for (auto const name : connection_options(header.fields))
        if (!is_token(name) || is_essential_field(name) ||
            same_name(name, "upgrade"))
            return refusal_reason::malformed_request;
    return std::nullopt;
}

/// Checks that each reserved request header occurs at most once.
std::optional<refusal_reason>
check_reserved_fields(request_header_view const& header)
{
    for (auto const name : permitted_reserved_names())
        if (count_fields(header.fields, name) > 1)
            return refusal_reason::bad_request_header;
    return std::nullopt;
}

} // namespace

header_check::header_check(header_check_settings settings)
    : settings_(settings)
{
}

std::optional<refusal_reason>
header_check::check(request_header_view const& header) const
{
    if (auto const reason = check_size(header))
        return reason;
    if (auto const reason = check_request_line(header))
        return reason;
    if (auto const reason = check_syntax(header))
        return reason;
    if (auto const reason = check_framing(header))
        return reason;
    if (auto const reason = check_host(header))
        return reason;
    if (auto const reason = check_connection(header))
        return reason;
    return check_reserved_fields(header);
}

std::optional<refusal_reason>
header_check::check_size(request_header_view const& header) const
{
    std::size_t bytes = header.method.size() + header.target.size();
    for (auto const& field : header.fields)
        bytes += field.name.size() + field.value.size() + field_overhead_bytes;
    bool const fits = bytes <= settings_.header_bytes &&
                      header.target.size() <= settings_.target_bytes &&
                      header.fields.size() <= settings_.fields;
    return fits ? std::nullopt
                : std::optional(refusal_reason::header_too_large);
}

std::optional<refusal_reason>
header_check::check_framing(request_header_view const& header) const
{
    auto const lengths = count_fields(header.fields, "Content-Length");
    auto const codings = count_fields(header.fields, "Transfer-Encoding");
    if (lengths + codings > 1)
        return refusal_reason::bad_framing;
    // The parser must have interpreted the fields in the same way.
    if (header.transfer_coding != (codings == 1) ||
        header.content_length.has_value() != (lengths == 1))
        return refusal_reason::bad_framing;
    if (codings == 1 &&
        !same_name(*find_field(header.fields, "Transfer-Encoding"), "chunked"))
        return refusal_reason::bad_framing;
    if (lengths == 0)
        return std::nullopt;
    auto const text = *find_field(header.fields, "Content-Length");
    std::uint64_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, length);
    if (parsed.ec != std::errc() || parsed.ptr != end ||
        length != *header.content_length)
        return refusal_reason::bad_framing;
    return length > settings_.body_bytes
               ? std::optional(refusal_reason::body_too_large)
               : std::nullopt;
}

} // namespace kumquatloom::admission
