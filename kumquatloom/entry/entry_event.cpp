#include <kumquatloom/entry/entry_event.hpp>

namespace kumquatloom::entry
{

std::string_view to_string(entry_event event)
{
    switch (event)
    {
    case entry_event::caller_accepted:
        return "caller-accepted";
    case entry_event::caller_refused:
        return "caller-refused";
    case entry_event::caller_disconnected:
        return "caller-disconnected";
    case entry_event::caller_too_slow:
        return "caller-too-slow";
    case entry_event::caller_displaced:
        return "caller-displaced";
    case entry_event::caller_shed:
        return "caller-shed";
    case entry_event::reader_shed:
        return "reader-shed";
    case entry_event::request_waited:
        return "request-waited";
    case entry_event::response_waited:
        return "response-waited";
    case entry_event::port_displaced:
        return "port-displaced";
    case entry_event::request_received:
        return "request-received";
    case entry_event::request_read_ahead:
        return "request-read-ahead";
    case entry_event::request_started_beside:
        return "request-started-beside";
    case entry_event::request_dropped:
        return "request-dropped";
    case entry_event::attempt_started:
        return "attempt-started";
    case entry_event::upstream_connected:
        return "upstream-connected";
    case entry_event::upstream_reused:
        return "upstream-reused";
    case entry_event::upstream_stale:
        return "upstream-stale";
    case entry_event::upstream_leftover:
        return "upstream-leftover";
    case entry_event::upstream_stray:
        return "upstream-stray";
    case entry_event::upstream_interim:
        return "upstream-interim";
    case entry_event::late_answer:
        return "late-answer";
    case entry_event::upstream_left:
        return "upstream-left";
    case entry_event::upstream_held:
        return "upstream-held";
    case entry_event::exchange_cancelled:
        return "exchange-cancelled";
    case entry_event::ticket_forwarded:
        return "ticket-forwarded";
    case entry_event::probe_succeeded:
        return "probe-succeeded";
    case entry_event::probe_failed:
        return "probe-failed";
    case entry_event::list_read:
        return "list-read";
    case entry_event::list_failed:
        return "list-failed";
    case entry_event::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::entry
