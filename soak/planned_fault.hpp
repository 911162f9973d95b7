#ifndef KUMQUATLOOM_SOAK_PLANNED_FAULT_HPP
#define KUMQUATLOOM_SOAK_PLANNED_FAULT_HPP

#include <chrono>
#include <cstdint>
#include <string_view>

namespace kumquatloom::soak
{

/// What a soak does to the system and to what it depends on.
enum class fault_kind
{
    /// Signals to processes.
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
    /// The store.
    store_down,
    store_refusing,
    store_silent,
    store_slow,
    store_losing,
    store_forgets,
    store_lapse,
    /// Upstreams.
    upstream_sick,
    upstreams_sick,
    upstream_crash,
    upstream_leave,
    upstream_reuse,
    /// The operator.
    move_route,
    add_route,
    remove_route,
    configuration_storm,
    count
};

/// Name of a kind.
std::string_view to_string(fault_kind kind);

/// One fault of a soak.
struct planned_fault
{
    /// When it begins, from the start of the callers.
    std::chrono::milliseconds at{0};
    /// What happens.
    fault_kind kind = fault_kind::count;
    /// How long.
    std::chrono::milliseconds lasts{0};
    /// Decides the target and the variant.
    std::uint64_t draw = 0;
};

} // namespace kumquatloom::soak

#endif
