#ifndef KUMQUATLOOM_ENTRY_STATUS_PAGE_HPP
#define KUMQUATLOOM_ENTRY_STATUS_PAGE_HPP

#include <string>

namespace kumquatloom::entry
{

struct instance_state;

/// The state of the instance as JSON.
std::string status_page(instance_state const& state);

} // namespace kumquatloom::entry

#endif
