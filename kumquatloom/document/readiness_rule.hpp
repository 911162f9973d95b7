#ifndef KUMQUATLOOM_DOCUMENT_READINESS_RULE_HPP
#define KUMQUATLOOM_DOCUMENT_READINESS_RULE_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace kumquatloom::document
{

/// Settings of the start of an instance.
struct start_settings
{
    /// Live members of the cell that activation does not wait for. It must be
    /// the same on all members.
    unsigned quorum_slack = 1;
};

/// Decides when a new instance knows enough to serve: it read the head of the
/// log itself, or heard from enough members of its cell.
///
/// A member that acts on an offset without waiting its time knows that all but
/// m of the members that it counts as live hold it. More than m sure members
/// therefore include one that holds it, as long as each of them is one of the
/// members that the acting one counts.
class start_rule
{
public:
    /// Nothing is known at first.
    explicit start_rule(start_settings settings);

    /// The head of the log was read: all records before `next` exist.
    void read_log_head(core::log_offset next);

    /// Somebody told that the member belongs to the cell and is not dead.
    void told_of(core::instance_id const& member);

    /// The member is known to have left or died.
    void forget(core::instance_id const& member);

    /// The member itself told whether it is sure and which records it has
    /// reduced: all before `next`.
    void heard_from(core::instance_id const& member,
                    bool sure,
                    core::log_offset next);

    /// The instance must have reduced all records before this one to serve;
    /// absent while it must not serve at all.
    std::optional<core::log_offset> required_next() const;

    /// Whether an instance that has reduced all records before `next` may
    /// serve, and is sure from then on.
    bool may_serve(core::log_offset next) const;

    /// How many members were heard from that are sure.
    std::size_t sure_members() const;

private:
    /// What a member told about itself.
    struct member_answer
    {
        /// Whether it is sure.
        bool sure = false;
        /// It has reduced all records before this one.
        core::log_offset next = 0;
    };

    /// The settings.
    start_settings settings_;
    /// Head of the log, if it was read.
    std::optional<core::log_offset> log_next_;
    /// Members that the instance was told of or heard from.
    std::set<core::instance_id> members_;
    /// Answers by member.
    std::map<core::instance_id, member_answer> answers_;
};

} // namespace kumquatloom::document

#endif
