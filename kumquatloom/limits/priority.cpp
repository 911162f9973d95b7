#include <kumquatloom/limits/priority.hpp>

namespace kumquatloom::limits
{

std::string_view to_string(priority value)
{
    switch (value)
    {
    case priority::high:
        return "high";
    case priority::normal:
        return "normal";
    case priority::low:
        return "low";
    case priority::count:
        break;
    }
    return {};
}

priority priority_of_rank(unsigned rank)
{
    auto const last = static_cast<unsigned>(priority::count) - 1;
    return static_cast<priority>(rank < last ? rank : last);
}

std::optional<priority> parse_priority(std::string_view text)
{
    for (auto const value : {priority::high, priority::normal, priority::low})
        if (to_string(value) == text)
            return value;
    return std::nullopt;
}

} // namespace kumquatloom::limits
