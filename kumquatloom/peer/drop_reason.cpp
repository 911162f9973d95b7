#include <kumquatloom/peer/drop_reason.hpp>

namespace kumquatloom::peer
{

std::string_view to_string(drop_reason reason)
{
    switch (reason)
    {
    case drop_reason::malformed:
        return "malformed";
    case drop_reason::oversized:
        return "oversized";
    case drop_reason::replayed:
        return "replayed";
    case drop_reason::foreign_fleet:
        return "foreign_fleet";
    case drop_reason::future_version:
        return "future_version";
    case drop_reason::bad_authentication:
        return "bad_authentication";
    case drop_reason::unknown_kind:
        return "unknown_kind";
    case drop_reason::too_many_senders:
        return "too_many_senders";
    case drop_reason::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::peer
