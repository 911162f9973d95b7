#ifndef KUMQUATLOOM_DOCUMENT_SNAPSHOT_POLICY_HPP
#define KUMQUATLOOM_DOCUMENT_SNAPSHOT_POLICY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <chrono>
#include <optional>

namespace kumquatloom::document
{

/// Settings of the snapshots.
struct snapshot_policy_settings
{
    /// Records after which a snapshot is written.
    core::log_offset records = 256;
    /// Time after which the records since the last snapshot are in a new one:
    /// a quarter of the log's retention time.
    std::chrono::milliseconds interval{std::chrono::hours(6)};
};

/// Decides when the designated member of a region writes a snapshot.
class snapshot_policy
{
public:
    /// Counts from the start of the instance.
    snapshot_policy(snapshot_policy_settings settings, core::time_point now);

    /// The reducer's newest complete snapshot, whoever wrote it.
    void seen(std::optional<core::log_offset> newest, core::time_point now);

    /// Whether a snapshot of the state, which holds all records before `next`,
    /// is to be written now.
    bool is_due(core::log_offset next, core::time_point now) const;

private:
    /// The settings.
    snapshot_policy_settings settings_;
    /// State offset of the newest snapshot.
    std::optional<core::log_offset> newest_;
    /// When that one was first seen.
    core::time_point seen_;
};

} // namespace kumquatloom::document

#endif
