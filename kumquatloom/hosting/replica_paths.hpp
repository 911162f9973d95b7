#ifndef KUMQUATLOOM_HOSTING_REPLICA_PATHS_HPP
#define KUMQUATLOOM_HOSTING_REPLICA_PATHS_HPP

#include <kumquatloom/hosting/store_position.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::hosting
{

/// HTTP path at which an instance serves snapshots to its neighbours.
inline constexpr std::string_view snapshot_path = "/snapshot";

/// The request target for the changes since a store position.
std::string changes_target(store_position const& since);

/// The store position in the request target; nothing if the target is not one
/// for changes.
std::optional<store_position> parse_changes_target(std::string_view target);

} // namespace kumquatloom::hosting

#endif
