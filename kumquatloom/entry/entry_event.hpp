#ifndef KUMQUATLOOM_ENTRY_ENTRY_EVENT_HPP
#define KUMQUATLOOM_ENTRY_ENTRY_EVENT_HPP

#include <string_view>

namespace kumquatloom::entry
{

/// Events that the servers, sessions and upstream pools count.
enum class entry_event
{
    caller_accepted,
    caller_refused,
    caller_disconnected,
    caller_too_slow,
    request_received,
    attempt_started,
    upstream_connected,
    upstream_reused,
    upstream_stale,
    upstream_leftover,
    upstream_stray,
    late_answer,
    exchange_cancelled,
    ticket_forwarded,
    probe_succeeded,
    probe_failed,
    list_read,
    list_failed,
    count
};

/// The value of the event in metric labels.
std::string_view to_string(entry_event event);

} // namespace kumquatloom::entry

#endif
