#ifndef KUMQUATLOOM_DOCUMENT_READINESS_RULE_HPP
#define KUMQUATLOOM_DOCUMENT_READINESS_RULE_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace kumquatloom::document
{

/// Settings of the readiness of a new instance.
struct readiness_settings
{
    /// Number of live members of the cell that may lag behind an active offset,
    /// as in activation_settings. It must be the same on all members.
    unsigned quorum_slack = 1;
};

/// Decides when a new instance has a state recent enough to serve: it has read
/// the log up to its head, or has received reports from at least half of the
/// known members of its cell, of which more than `quorum_slack` are ready.
///
/// A member that activates an offset before the maximum wait knows that all but
/// `quorum_slack` of the members that it counts as live have reduced it. Any
/// set of more than `quorum_slack` ready members therefore includes one that
/// has reduced it, provided that the activating member counts all of them as
/// live.
class readiness_rule
{
public:
    /// Starts without the log head and without members.
    explicit readiness_rule(readiness_settings settings);

    /// Records a read of the log head: all records before `next` exist.
    void update_log_head(core::log_offset next);

    /// Adds a member of the cell that is not known to be dead.
    void add_member(core::instance_id const& member);

    /// Removes a member that has left or died.
    void remove_member(core::instance_id const& member);

    /// Records a report from the member itself: whether it is ready, and that
    /// it has reduced all records before `next`.
    void record_report(core::instance_id const& member,
                       bool ready,
                       core::log_offset next);

    /// The offset before which all records must be reduced to serve, or
    /// std::nullopt while the instance must not serve.
    std::optional<core::log_offset> required_next() const;

    /// Whether an instance that has reduced all records before `next` may
    /// serve, and is ready from then on.
    bool may_serve(core::log_offset next) const;

    /// Number of members that reported to be ready.
    std::size_t ready_members() const;

private:
    /// The last report of a member.
    struct member_report
    {
        /// Whether the member is ready.
        bool ready = false;
        /// Offset after the last record that the member has reduced.
        core::log_offset next = 0;
    };

    /// The settings.
    readiness_settings settings_;
    /// Offset after the last record of the log, if the log was read.
    std::optional<core::log_offset> log_head_;
    /// Known members of the cell.
    std::set<core::instance_id> members_;
    /// Last reports by member.
    std::map<core::instance_id, member_report> reports_;
};

} // namespace kumquatloom::document

#endif
