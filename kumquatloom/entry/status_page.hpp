#ifndef KUMQUATLOOM_ENTRY_STATUS_PAGE_HPP
#define KUMQUATLOOM_ENTRY_STATUS_PAGE_HPP

#include <string>

namespace kumquatloom::control
{
class control_plane;
} // namespace kumquatloom::control

namespace kumquatloom::entry
{

struct instance_state;

/// The state of the instance as JSON, with that of the control plane unless it
/// is null.
std::string status_page(instance_state const& state,
                        control::control_plane const* plane);

} // namespace kumquatloom::entry

#endif
