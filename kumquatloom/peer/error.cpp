#include <kumquatloom/peer/error.hpp>

namespace kumquatloom::peer
{

std::string_view to_string(peer_error error)
{
    switch (error)
    {
    case peer_error::out_of_bounds:
        return "out_of_bounds";
    case peer_error::oversized:
        return "oversized";
    case peer_error::wrong_channel:
        return "wrong_channel";
    case peer_error::bad_address:
        return "bad_address";
    case peer_error::connection_failed:
        return "connection_failed";
    case peer_error::timeout:
        return "timeout";
    case peer_error::too_many_connections:
        return "too_many_connections";
    case peer_error::bad_response:
        return "bad_response";
    case peer_error::stopped:
        return "stopped";
    case peer_error::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::peer
