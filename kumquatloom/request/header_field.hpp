#ifndef KUMQUATLOOM_REQUEST_HEADER_FIELD_HPP
#define KUMQUATLOOM_REQUEST_HEADER_FIELD_HPP

#include <optional>
#include <span>
#include <string_view>

namespace kumquatloom::request
{

/// A view of one header field; the message that it was read from outlives it.
struct header_field
{
    /// Name as received.
    std::string_view name;
    /// Value without the whitespace around it.
    std::string_view value;
};

/// Compares header names, which ignore the case of ASCII letters.
bool same_name(std::string_view left, std::string_view right);

/// Number of fields of a name.
std::size_t count_fields(std::span<header_field const> fields,
                         std::string_view name);

/// Value of the first field of a name.
std::optional<std::string_view> find_field(std::span<header_field const> fields,
                                           std::string_view name);

} // namespace kumquatloom::request

#endif
