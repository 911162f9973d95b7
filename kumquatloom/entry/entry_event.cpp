#include <kumquatloom/entry/entry_event.hpp>

namespace kumquatloom::entry
{

std::string_view to_string(entry_event event)
{
    switch (event)
    {
    case entry_event::caller_accepted:
        return "caller_accepted";
    case entry_event::caller_refused:
        return "caller_refused";
    case entry_event::caller_disconnected:
        return "caller_disconnected";
    case entry_event::request_received:
        return "request_received";
    case entry_event::request_completed:
        return "request_completed";
    case entry_event::attempt_started:
        return "attempt_started";
    case entry_event::attempt_retried:
        return "attempt_retried";
    case entry_event::upstream_connected:
        return "upstream_connected";
    case entry_event::upstream_reused:
        return "upstream_reused";
    case entry_event::upstream_stale:
        return "upstream_stale";
    case entry_event::upstream_leftover:
        return "upstream_leftover";
    case entry_event::late_answer:
        return "late_answer";
    case entry_event::wrong_answer:
        return "wrong_answer";
    case entry_event::exchange_cancelled:
        return "exchange_cancelled";
    case entry_event::list_read:
        return "list_read";
    case entry_event::list_failed:
        return "list_failed";
    case entry_event::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::entry
