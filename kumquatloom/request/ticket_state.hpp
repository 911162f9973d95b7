#ifndef KUMQUATLOOM_REQUEST_TICKET_STATE_HPP
#define KUMQUATLOOM_REQUEST_TICKET_STATE_HPP

#include <string_view>

namespace kumquatloom::request
{

/// What the owner knows about one of its tickets.
enum class ticket_state
{
    /// Nobody has claimed it.
    unused,
    /// Its request is running.
    running,
    /// Its request has ended.
    finished,
    /// Its place in the window has been given to a later ticket. It counts as
    /// used.
    dropped,
    count
};

/// Text of the metric label.
std::string_view to_string(ticket_state value);

} // namespace kumquatloom::request

#endif
