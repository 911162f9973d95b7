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

/// Callbacks from the control plane to its owner, all called on the control
/// thread.
struct control_hooks
{
    /// Another version of the document is in force.
    std::function<void(fleet_state::document_pointer)> document_activated;
    /// The instance became ready to serve callers, or stopped being ready.
    std::function<void(bool)> readiness_changed;
    /// Passes the known instances of the fleet; called at every tick.
    std::function<void(std::vector<membership::known_instance>)>
        instances_updated;
    /// Passes the ejection ledger and the time as of which the state is fresh,
    /// absent if it never was; called at every tick.
    std::function<void(health::ejection_ledger const&,
                       std::optional<core::time_point>)>
        ejections_updated;
    /// Returns encoded health evidence to send to the members of the cell;
    /// empty if there is nothing to send.
    std::function<std::vector<std::string>(core::time_point)> evidence_due;
    /// Encoded health evidence arrived from a member.
    std::function<void(std::string_view, core::time_point)> evidence_received;
    /// A member reported that an upstream is leaving.
    std::function<void(core::service_name const&, core::upstream_id const&)>
        upstream_leaving;
    /// Returns encoded requests for rate limit shares, each to be sent to one
    /// member.
    std::function<std::vector<std::string>(core::time_point)>
        share_requests_due;
    /// A member requests a rate limit share. Returns the encoded grant, or
    /// std::nullopt to refuse.
    std::function<std::optional<std::string>(std::string_view,
                                             core::time_point)>
        share_requested;
    /// An encoded grant of a rate limit share arrived from a member.
    std::function<void(std::string_view, core::time_point)> share_granted;
};

} // namespace kumquatloom::control

#endif
