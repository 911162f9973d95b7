#ifndef KUMQUATLOOM_SOAK_PLANNED_FAULT_HPP
#define KUMQUATLOOM_SOAK_PLANNED_FAULT_HPP

#include <chrono>
#include <cstdint>
#include <string_view>

namespace kumquatloom::soak
{

/// Kind of a fault that a soak injects.
enum class fault_kind
{
    /// Signals to instance processes.
    leave_instance,
    kill_instance,
    pause_instance,
    reload_instance,
    leave_then_kill,
    pause_then_leave,
    roll_instances,
    kill_all_instances,
    /// Links between callers and instances, instances and the store, and
    /// instances and upstreams.
    caller_link,
    store_link,
    upstream_link,
    /// Faults of the store. The first five are those of store_behaviour; then
    /// the store drops its history, or the upstreams' entries after an outage.
    store_down,
    store_refusing,
    store_silent,
    store_slow,
    store_losing,
    store_forgets,
    store_lapse,
    /// A gray failure of one upstream or of many, a crash, a planned stop, and
    /// an exchange of addresses between upstreams of two services.
    upstream_sick,
    upstreams_sick,
    upstream_crash,
    upstream_leave,
    upstream_reuse,
    /// Configuration changes by the operator.
    move_route,
    add_route,
    remove_route,
    configuration_storm,
    count
};

/// Name of a kind, as the report prints it.
std::string_view to_string(fault_kind kind);

/// A fault that a soak will inject.
struct planned_fault
{
    /// Start of the fault, relative to the start of the callers.
    std::chrono::milliseconds at{0};
    /// Kind of the fault.
    fault_kind kind = fault_kind::count;
    /// Planned duration. Some kinds, such as rolling restarts, route changes
    /// and upstream restarts, take a time of their own instead.
    std::chrono::milliseconds duration{0};
    /// Random seed for the target and the variant.
    std::uint64_t seed = 0;
};

} // namespace kumquatloom::soak

#endif
