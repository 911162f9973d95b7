#include <kumquatloom/peer/message_kind.hpp>

namespace kumquatloom::peer
{

std::string_view to_string(message_kind kind)
{
    switch (kind)
    {
    case message_kind::heartbeat:
        return "heartbeat";
    case message_kind::probe:
        return "probe";
    case message_kind::indirect_probe:
        return "indirect_probe";
    case message_kind::ack:
        return "ack";
    case message_kind::evidence:
        return "evidence";
    case message_kind::leaving:
        return "leaving";
    case message_kind::upstream_leaving:
        return "upstream_leaving";
    case message_kind::cell_digest:
        return "cell_digest";
    case message_kind::sync_request:
        return "sync_request";
    case message_kind::sync_response:
        return "sync_response";
    case message_kind::share_request:
        return "share_request";
    case message_kind::share_grant:
        return "share_grant";
    case message_kind::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::peer
