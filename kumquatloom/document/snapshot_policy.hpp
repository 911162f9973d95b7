#ifndef KUMQUATLOOM_DOCUMENT_SNAPSHOT_POLICY_HPP
#define KUMQUATLOOM_DOCUMENT_SNAPSHOT_POLICY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <optional>

namespace kumquatloom::document
{

/// Settings of the snapshot schedule.
struct snapshot_policy_settings
{
    /// Number of records after which a snapshot is written.
    core::log_offset records = 256;
    /// Time after which a snapshot is written if there are new records: a
    /// quarter of the log's retention time.
    std::chrono::milliseconds interval{std::chrono::hours(6)};
};

/// Decides when the elected member of a cell writes a snapshot.
class snapshot_policy
{
public:
    /// The interval starts at `now`.
    snapshot_policy(snapshot_policy_settings settings, core::time_point now);

    /// Updates the state offset of the newest complete snapshot in the log.
    void update_newest(std::optional<core::log_offset> newest,
                       core::time_point now);

    /// Whether a snapshot is due for a state that contains all records before
    /// `next`.
    bool is_due(core::log_offset next, core::time_point now) const;

private:
    /// The settings.
    snapshot_policy_settings settings_;
    /// State offset of the newest snapshot.
    std::optional<core::log_offset> newest_;
    /// Time at which that snapshot was first seen.
    core::time_point newest_since_;
};

} // namespace kumquatloom::document

#endif
