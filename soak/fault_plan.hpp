#ifndef KUMQUATLOOM_SOAK_FAULT_PLAN_HPP
#define KUMQUATLOOM_SOAK_FAULT_PLAN_HPP

#include <soak/planned_fault.hpp>
#include <soak/soak_settings.hpp>
#include <vector>

namespace kumquatloom::soak
{

/// Plans the faults of a soak in order of time. The plan depends only on the
/// settings, which include the seed. By their planned durations, at most
/// `max_concurrent_faults` overlap and all end before the recovery time.
std::vector<planned_fault> plan_faults(soak_settings const& settings);

} // namespace kumquatloom::soak

#endif
