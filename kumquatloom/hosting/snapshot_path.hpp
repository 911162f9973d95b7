#ifndef KUMQUATLOOM_HOSTING_SNAPSHOT_PATH_HPP
#define KUMQUATLOOM_HOSTING_SNAPSHOT_PATH_HPP

#include <string_view>

namespace kumquatloom::hosting
{

/// Where neighbours serve what they know of the environment.
inline constexpr std::string_view snapshot_path = "/snapshot";

} // namespace kumquatloom::hosting

#endif
