#ifndef KUMQUATLOOM_CONTROL_FLEET_STATE_SETTINGS_HPP
#define KUMQUATLOOM_CONTROL_FLEET_STATE_SETTINGS_HPP

#include <kumquatloom/document/activation_rule.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/readiness_rule.hpp>
#include <kumquatloom/document/snapshot_policy.hpp>

#include <cstddef>

namespace kumquatloom::control
{

/// Settings of an instance's copy of the replicated state.
struct fleet_state_settings
{
    /// How records are reduced.
    document::document_reducer_settings reducer;
    /// When offsets are acted on.
    document::activation_settings activation;
    /// When the instance may serve.
    document::start_settings start;
    /// Most records that are kept for peers which lack them.
    std::size_t kept_records = 1024;
    /// Most bytes of those records.
    std::size_t kept_bytes = 2 * 1024 * 1024;
    /// When a snapshot is due.
    document::snapshot_policy_settings snapshots;
};

} // namespace kumquatloom::control

#endif
