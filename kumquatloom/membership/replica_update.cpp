#include <kumquatloom/membership/replica_update.hpp>

namespace kumquatloom::membership
{

std::string_view to_string(replica_update update)
{
    switch (update)
    {
    case replica_update::whole_read:
        return "whole-read";
    case replica_update::changes_read:
        return "changes-read";
    case replica_update::read_failed:
        return "read-failed";
    case replica_update::snapshot:
        return "snapshot";
    case replica_update::neighbour_changes:
        return "neighbour-changes";
    case replica_update::neighbour_failed:
        return "neighbour-failed";
    case replica_update::count:
        break;
    }
    return "unknown";
}

} // namespace kumquatloom::membership
