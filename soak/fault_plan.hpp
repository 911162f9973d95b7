#ifndef KUMQUATLOOM_SOAK_FAULT_PLAN_HPP
#define KUMQUATLOOM_SOAK_FAULT_PLAN_HPP

#include <soak/planned_fault.hpp>
#include <soak/soak_settings.hpp>
#include <vector>

namespace kumquatloom::soak
{

/// The faults of a soak in order of time. The seed decides them alone. No more
/// than the bound overlap, and all have ended when the calm time begins.
std::vector<planned_fault> plan_faults(soak_settings const& settings);

} // namespace kumquatloom::soak

#endif
