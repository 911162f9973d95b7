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
    /// A connection was closed to make room for another one.
    caller_displaced,
    /// A request was refused while it was read, to free its memory for another
    /// one.
    caller_shed,
    /// A connection was closed while its response was written, to free the
    /// memory for another response.
    reader_shed,
    /// A request, or a response of an upstream, waited for memory.
    request_waited,
    response_waited,
    /// A connection to a port that is not for callers was closed to make room
    /// for another one.
    port_displaced,
    request_received,
    /// A request was read before an earlier one of its connection was answered.
    request_read_ahead,
    /// A request started beside an earlier one of its connection.
    request_started_beside,
    /// A request that was read ahead was dropped, because an earlier response
    /// closed the connection.
    request_dropped,
    attempt_started,
    upstream_connected,
    upstream_reused,
    /// An idle connection could not be reused: it had expired, was closed or
    /// had unread data.
    upstream_stale,
    /// A persistent connection was not reused after an exchange: it was closed,
    /// had unread data or had carried a response to an earlier request.
    upstream_leftover,
    /// A response belongs to an earlier request on the connection.
    upstream_stray,
    /// An interim response preceded the response to the request.
    upstream_interim,
    /// A complete response arrived after the deadline of its attempt.
    late_answer,
    /// An upstream announced its departure in a response.
    upstream_left,
    /// An upstream asked for a pause in a response.
    upstream_held,
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
