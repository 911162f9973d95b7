#ifndef KUMQUATLOOM_CONTROL_FLEET_STATE_SETTINGS_HPP
#define KUMQUATLOOM_CONTROL_FLEET_STATE_SETTINGS_HPP

#include <kumquatloom/document/activation_rule.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/readiness_rule.hpp>
#include <kumquatloom/document/snapshot_policy.hpp>

#include <cstddef>

namespace kumquatloom::control
{

/// Settings of an instance's replica of the fleet's state.
struct fleet_state_settings
{
    /// Settings of the reducer of log records.
    document::document_reducer_settings reducer;
    /// Settings of the activation of offsets.
    document::activation_settings activation;
    /// Settings of the readiness of the instance.
    document::readiness_settings readiness;
    /// Maximum number of records retained for peers that lack them.
    std::size_t retained_records = 1024;
    /// Maximum bytes of the retained records.
    std::size_t retained_bytes = 2 * 1024 * 1024;
    /// Settings of the snapshot schedule.
    document::snapshot_policy_settings snapshots;
};

} // namespace kumquatloom::control

#endif
