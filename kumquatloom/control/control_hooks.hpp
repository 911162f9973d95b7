#ifndef KUMQUATLOOM_CONTROL_CONTROL_HOOKS_HPP
#define KUMQUATLOOM_CONTROL_CONTROL_HOOKS_HPP

#include <kumquatloom/control/fleet_state.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/known_instance.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::control
{

/// What the control plane tells its owner, and asks of it. All calls come from
/// the control thread.
struct control_hooks
{
    /// Another document is in force.
    std::function<void(fleet_state::document_pointer)> document_activated;
    /// The instance may serve, or may not.
    std::function<void(bool)> readiness_changed;
    /// What is known about the fleet's instances; called at every tick.
    std::function<void(std::vector<membership::known_instance>)>
        instances_updated;
    /// The ledger may have changed, or the freshness. Absent: never fresh.
    std::function<void(health::ejection_ledger const&,
                       std::optional<core::time_point>)>
        ejections_updated;
    /// Encoded evidence to send to the cell, none in quiet times.
    std::function<std::vector<std::string>(core::time_point)> evidence_due;
    /// Encoded evidence of a member.
    std::function<void(std::string_view, core::time_point)> evidence_received;
    /// A member says that an upstream is leaving.
    std::function<void(core::service_name const&, core::upstream_id const&)>
        upstream_leaving;
    /// Encoded requests for shares of limits to send to some member.
    std::function<std::vector<std::string>(core::time_point)>
        share_requests_due;
    /// A member asks for a share; the encoded grant, or nothing.
    std::function<std::optional<std::string>(std::string_view,
                                             core::time_point)>
        share_requested;
    /// A member granted a share.
    std::function<void(std::string_view, core::time_point)> share_granted;
};

} // namespace kumquatloom::control

#endif
