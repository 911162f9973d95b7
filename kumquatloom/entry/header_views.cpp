#include <kumquatloom/entry/header_views.hpp>

namespace kumquatloom::entry
{

std::vector<request::header_field> header_views(http::fields const& fields)
{
    std::vector<request::header_field> views;
    for (auto const& field : fields)
        views.push_back({as_view(field.name_string()), as_view(field.value())});
    return views;
}

void append_header(std::string_view name,
                   std::string_view value,
                   std::string& head)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace kumquatloom::entry
