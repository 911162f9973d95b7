#ifndef KUMQUATLOOM_HOSTING_SNAPSHOT_PATH_HPP
#define KUMQUATLOOM_HOSTING_SNAPSHOT_PATH_HPP

#include <string_view>

namespace kumquatloom::hosting
{

/// HTTP path at which an instance serves snapshots to its neighbours.
inline constexpr std::string_view snapshot_path = "/snapshot";

} // namespace kumquatloom::hosting

#endif
