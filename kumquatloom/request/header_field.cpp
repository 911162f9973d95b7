#include <kumquatloom/request/header_field.hpp>

#include <algorithm>

namespace kumquatloom::request
{

namespace
{

char lower_case(char character)
{
    return character >= 'A' && character <= 'Z'
               ? static_cast<char>(character - 'A' + 'a')
               : character;
}

} // namespace

bool same_name(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(),
                      left.end(),
                      right.begin(),
                      right.end(),
                      [](char a, char b)
                      {
                          return lower_case(a) == lower_case(b);
                      });
}

std::size_t count_fields(std::span<header_field const> fields,
                         std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(fields.begin(),
                                                  fields.end(),
                                                  [&](header_field const& field)
                                                  {
                                                      return same_name(
                                                          field.name, name);
                                                  }));
}

std::optional<std::string_view> find_field(std::span<header_field const> fields,
                                           std::string_view name)
{
    for (auto const& field : fields)
        if (same_name(field.name, name))
            return field.value;
    return std::nullopt;
}

} // namespace kumquatloom::request
