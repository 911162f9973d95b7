#ifndef KUMQUATLOOM_ENTRY_HEADER_VIEWS_HPP
#define KUMQUATLOOM_ENTRY_HEADER_VIEWS_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/request/header_field.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::entry
{

/// Converts a Beast view to a standard one.
inline std::string_view as_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Views of all fields in the order received. The views point into `fields`.
std::vector<request::header_field> header_views(http::fields const& fields);

/// Appends one header line to `head`.
void append_header(std::string_view name,
                   std::string_view value,
                   std::string& head);

} // namespace kumquatloom::entry

#endif
