#ifndef KUMQUATLOOM_ENTRY_ENTRY_EVENT_HPP
#define KUMQUATLOOM_ENTRY_ENTRY_EVENT_HPP

#include <string_view>

namespace kumquatloom::entry
{

/// What the servers and the upstream pools count.
enum class entry_event
{
    caller_accepted,
    caller_refused,
    caller_disconnected,
    request_received,
    request_completed,
    attempt_started,
    attempt_retried,
    upstream_connected,
    upstream_reused,
    upstream_stale,
    upstream_leftover,
    late_answer,
    wrong_answer,
    exchange_cancelled,
    list_read,
    list_failed,
    count
};

/// Name of the event in metric labels.
std::string_view to_string(entry_event event);

} // namespace kumquatloom::entry

#endif
