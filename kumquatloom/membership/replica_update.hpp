#ifndef KUMQUATLOOM_MEMBERSHIP_REPLICA_UPDATE_HPP
#define KUMQUATLOOM_MEMBERSHIP_REPLICA_UPDATE_HPP

#include <string_view>

namespace kumquatloom::membership
{

/// How an instance updates its copy of the store.
enum class replica_update
{
    /// A read of the whole store, or of the changes since the last one.
    whole_read,
    changes_read,
    read_failed,
    /// A snapshot from a neighbour, or the changes that it has in addition.
    snapshot,
    neighbour_changes,
    neighbour_failed,
    count
};

/// The value of the update in metric labels.
std::string_view to_string(replica_update update);

} // namespace kumquatloom::membership

#endif
