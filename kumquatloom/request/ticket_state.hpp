#ifndef KUMQUATLOOM_REQUEST_TICKET_STATE_HPP
#define KUMQUATLOOM_REQUEST_TICKET_STATE_HPP

#include <string_view>

namespace kumquatloom::request
{

/// State of a ticket at its owner.
enum class ticket_state
{
    /// The ticket has not been claimed.
    unused,
    /// The ticket's request is running.
    running,
    /// The ticket's request has ended.
    finished,
    /// A later ticket has taken the slot in the table. The ticket counts as
    /// used.
    dropped,
    count
};

std::string_view to_string(ticket_state value);

} // namespace kumquatloom::request

#endif
