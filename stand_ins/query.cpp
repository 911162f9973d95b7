#include <charconv>
#include <stand_ins/query.hpp>

namespace kumquatloom::stand_ins
{

std::string_view target_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::uint64_t query_number(std::string_view target,
                           std::string_view key,
                           std::uint64_t fallback)
{
    auto const mark = target.find('?');
    if (mark == std::string_view::npos)
        return fallback;
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty())
    {
        auto const end = rest.find('&');
        std::string_view const pair = rest.substr(0, end);
        if (pair.starts_with(key) && pair.substr(key.size()).starts_with('='))
        {
            auto const text = pair.substr(key.size() + 1);
            std::uint64_t number = fallback;
            std::from_chars(text.data(), text.data() + text.size(), number);
            return number;
        }
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return fallback;
}

} // namespace kumquatloom::stand_ins
