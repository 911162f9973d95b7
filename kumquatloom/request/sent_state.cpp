#include <kumquatloom/request/sent_state.hpp>

namespace kumquatloom::request
{

std::string_view to_string(sent_state value)
{
    switch (value)
    {
    case sent_state::nothing_written:
        return "nothing-written";
    case sent_state::written:
        return "written";
    case sent_state::refused_by_upstream:
        return "refused-by-upstream";
    case sent_state::count:
        break;
    }
    return {};
}

bool proves_not_run(sent_state value)
{
    return value == sent_state::nothing_written ||
           value == sent_state::refused_by_upstream;
}

} // namespace kumquatloom::request
