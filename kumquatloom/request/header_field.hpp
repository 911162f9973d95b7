#ifndef KUMQUATLOOM_REQUEST_HEADER_FIELD_HPP
#define KUMQUATLOOM_REQUEST_HEADER_FIELD_HPP

#include <optional>
#include <span>
#include <string_view>

namespace kumquatloom::request
{

/// A view of one header field. The message must outlive it.
struct header_field
{
    std::string_view name;
    /// Value without leading and trailing whitespace.
    std::string_view value;
};

/// Whether two field names are equal, ignoring the case of ASCII letters.
bool same_name(std::string_view left, std::string_view right);

/// Number of fields with a name.
std::size_t count_fields(std::span<header_field const> fields,
                         std::string_view name);

/// Value of the first field with a name.
std::optional<std::string_view> find_field(std::span<header_field const> fields,
                                           std::string_view name);

} // namespace kumquatloom::request

#endif
