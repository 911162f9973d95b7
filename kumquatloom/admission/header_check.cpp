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

constexpr unsigned supported_version = 11;
/// Bytes that each field takes beside its name and value: ": " and CR LF.
constexpr std::size_t field_overhead = 4;
/// CONNECT and TRACE are missing on purpose: one opens a tunnel and the other
/// echoes credentials.
constexpr std::array<std::string_view, 7> supported_methods = {
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"};
/// Fields that a request carries at most once, because two recipients could
/// pick different ones.
constexpr std::array<std::string_view, 4> single_fields = {
    "Authorization", "Content-Type", "Expect", "Content-Digest"};

bool is_token_character(char letter)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') ||
           others.find(letter) != others.npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), is_token_character);
}

/// Whether a value has no control character but the tab.
bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(),
                       text.end(),
                       [](char letter)
                       {
                           auto const byte = static_cast<unsigned char>(letter);
                           return letter == '\t' ||
                                  (byte >= ' ' && byte != 0x7F);
                       });
}

std::optional<refusal_reason>
check_request_line(request_header_view const& facts)
{
    if (std::find(supported_methods.begin(),
                  supported_methods.end(),
                  facts.method) == supported_methods.end())
        return refusal_reason::method_not_supported;
    if (facts.version != supported_version)
        return refusal_reason::malformed_request;
    if (!is_plain_target(facts.target))
        return refusal_reason::bad_target;
    return std::nullopt;
}

std::optional<refusal_reason> check_syntax(request_header_view const& facts)
{
    for (auto const& field : facts.fields)
        if (!is_token(field.name) || !is_field_value(field.value))
            return refusal_reason::malformed_request;
    for (auto const name : single_fields)
        if (count_fields(facts.fields, name) > 1)
            return refusal_reason::malformed_request;
    return std::nullopt;
}

/// Whether a Host value is a host with an optional port.
bool is_host(std::string_view text)
{
    constexpr std::string_view others = "-._~[]:";
    return !text.empty() &&
           std::all_of(text.begin(),
                       text.end(),
                       [&](char letter)
                       {
                           return (letter >= 'a' && letter <= 'z') ||
                                  (letter >= 'A' && letter <= 'Z') ||
                                  (letter >= '0' && letter <= '9') ||
                                  others.find(letter) != others.npos;
                       });
}

std::optional<refusal_reason> check_host(request_header_view const& facts)
{
    auto const host = find_field(facts.fields, "Host");
    if (count_fields(facts.fields, "Host") != 1 || !is_host(*host))
        return refusal_reason::bad_host;
    return std::nullopt;
}

/// Checks fields that change the meaning of the connection.
std::optional<refusal_reason> check_connection(request_header_view const& facts)
{
    if (count_fields(facts.fields, "Upgrade") > 0)
        return refusal_reason::method_not_supported;
    auto const expect = find_field(facts.fields, "Expect");
    if (expect && !same_name(*expect, "100-continue"))
        return refusal_reason::malformed_request;
    // Naming such a field in Connection would remove it on the way.
    for (auto const name : connection_options(facts.fields))
        if (!is_token(name) || is_essential_field(name) ||
            same_name(name, "upgrade"))
            return refusal_reason::malformed_request;
    return std::nullopt;
}

/// Checks that each of the system's own request headers appears at most once.
std::optional<refusal_reason> check_own_fields(request_header_view const& facts)
{
    for (auto const name : own_request_fields())
        if (count_fields(facts.fields, name) > 1)
            return refusal_reason::bad_request_header;
    return std::nullopt;
}

} // namespace

header_check::header_check(header_check_settings settings)
    : settings_(settings)
{
}

std::optional<refusal_reason>
header_check::check(request_header_view const& facts) const
{
    if (auto const reason = check_size(facts))
        return reason;
    if (auto const reason = check_request_line(facts))
        return reason;
    if (auto const reason = check_syntax(facts))
        return reason;
    if (auto const reason = check_framing(facts))
        return reason;
    if (auto const reason = check_host(facts))
        return reason;
    if (auto const reason = check_connection(facts))
        return reason;
    return check_own_fields(facts);
}

std::optional<refusal_reason>
header_check::check_size(request_header_view const& facts) const
{
    std::size_t bytes = facts.method.size() + facts.target.size();
    for (auto const& field : facts.fields)
        bytes += field.name.size() + field.value.size() + field_overhead;
    bool const fits = bytes <= settings_.header_bytes &&
                      facts.target.size() <= settings_.target_bytes &&
                      facts.fields.size() <= settings_.fields;
    return fits ? std::nullopt
                : std::optional(refusal_reason::header_too_large);
}

std::optional<refusal_reason>
header_check::check_framing(request_header_view const& facts) const
{
    auto const lengths = count_fields(facts.fields, "Content-Length");
    auto const codings = count_fields(facts.fields, "Transfer-Encoding");
    if (lengths + codings > 1)
        return refusal_reason::bad_framing;
    // The parser must have read the fields in the same way.
    if (facts.transfer_coding != (codings == 1) ||
        facts.content_length.has_value() != (lengths == 1))
        return refusal_reason::bad_framing;
    if (codings == 1 &&
        !same_name(*find_field(facts.fields, "Transfer-Encoding"), "chunked"))
        return refusal_reason::bad_framing;
    if (lengths == 0)
        return std::nullopt;
    auto const text = *find_field(facts.fields, "Content-Length");
    std::uint64_t length = 0;
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, length);
    if (read.ec != std::errc() || read.ptr != end ||
        length != *facts.content_length)
        return refusal_reason::bad_framing;
    return length > settings_.body_bytes
               ? std::optional(refusal_reason::body_too_large)
               : std::nullopt;
}

} // namespace kumquatloom::admission
