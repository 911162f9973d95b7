#include <kumquatloom/request/ticket_state.hpp>

namespace kumquatloom::request
{

std::string_view to_string(ticket_state value)
{
    switch (value)
    {
    case ticket_state::unused:
        return "unused";
    case ticket_state::running:
        return "running";
    case ticket_state::finished:
        return "finished";
    case ticket_state::dropped:
        return "dropped";
    case ticket_state::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::request
