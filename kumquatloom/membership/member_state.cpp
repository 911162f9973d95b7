#include <kumquatloom/membership/member_state.hpp>

namespace kumquatloom::membership
{

std::string_view to_string(member_state state)
{
    switch (state)
    {
    case member_state::unheard:
        return "unheard";
    case member_state::live:
        return "live";
    case member_state::suspect:
        return "suspect";
    case member_state::dead:
        return "dead";
    case member_state::leaving:
        return "leaving";
    case member_state::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::membership
