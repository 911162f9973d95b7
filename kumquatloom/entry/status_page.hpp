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

/// The status of the instance as JSON; includes that of the control plane
/// unless `plane` is null.
std::string status_page(instance_state const& state,
                        control::control_plane const* plane);

} // namespace kumquatloom::entry

#endif
