#ifndef KUMQUATLOOM_MEMBERSHIP_MEMBER_TABLE_HPP
#define KUMQUATLOOM_MEMBERSHIP_MEMBER_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/listed_instance.hpp>
#include <kumquatloom/membership/member.hpp>
#include <kumquatloom/membership/member_table_settings.hpp>
#include <kumquatloom/peer/ack.hpp>
#include <kumquatloom/peer/heartbeat.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatloom::membership
{

/// The other members of a cell, from heartbeats, acks and the platform's list.
/// A member's state depends only on its silence, its own messages and the
/// list's leaving marks; suspicions of other members only trigger probes. The
/// list adds members, but does not keep a silent one alive. Not thread-safe.
class member_table
{
public:
    using member_map = std::map<core::instance_id, member>;

    /// How a heartbeat was processed.
    enum class message_result : std::uint8_t
    {
        /// Ignored: outdated incarnation, or the table is full.
        ignored,
        /// From the known incarnation of the member.
        known,
        /// First message of an incarnation.
        first
    };

    /// Creates an empty table of the instance `self`, which is not a member.
    member_table(member_table_settings settings, core::instance_id self);

    /// Records a heartbeat received directly from its sender.
    message_result record(core::instance_id const& sender,
                          core::incarnation incarnation,
                          peer::heartbeat const& heartbeat,
                          settings::endpoint const& source,
                          core::time_point now);

    /// Lateness of a message other than a heartbeat, from the sender's uptime
    /// in it; nothing if there is no heartbeat of that incarnation to compare
    /// with.
    std::optional<core::duration> lateness(core::instance_id const& sender,
                                           core::incarnation incarnation,
                                           std::chrono::milliseconds uptime,
                                           core::time_point now);

    /// Records an ack. It proves that its subject was alive at `sent_at`, the
    /// send time of the probe.
    void record(peer::ack const& ack,
                bool direct,
                core::time_point sent_at,
                core::time_point now);

    /// Records the announcement that an incarnation is leaving.
    void record_leaving(core::instance_id const& sender,
                        core::incarnation incarnation);

    /// Records that another member suspects `subject`.
    void record_suspicion(core::instance_id const& subject,
                          core::incarnation incarnation,
                          std::uint32_t refutation);

    /// Applies the platform's list, restricted to this cell.
    void apply_list(std::vector<listed_instance> const& list,
                    core::time_point now);

    /// Adds a member named by a peer, so that it gets heartbeats.
    void add_contact(listed_instance const& instance, core::time_point now);

    /// Updates the state of each member, and replaces expired members by
    /// tombstones.
    void update_states(core::time_point now);

    /// Excludes a pause of this instance from the silence of all members.
    void exclude_pause(core::duration pause, core::time_point now);

    member_map const& members() const
    {
        return members_;
    }

    /// Finds a member; null if unknown.
    member const* find(core::instance_id const& id) const;

    std::size_t tombstones() const
    {
        return tombstones_.size();
    }

private:
    /// Record of a removed member, by which its outdated messages are detected.
    struct tombstone
    {
        /// Last known incarnation.
        core::incarnation incarnation = 0;
        /// Whether that incarnation had announced that it is leaving.
        bool leaving = false;
        core::time_point removed;
    };

    member* find_or_add(core::instance_id const& id, core::time_point now);
    member* accept_sender(core::instance_id const& sender,
                          core::incarnation incarnation,
                          core::time_point now,
                          message_result& result);
    void add_tombstone(member const& removed_member, core::time_point now);
    bool is_expired(member const& item, core::time_point now) const;
    member_state state_of(member const& item, core::time_point now) const;

    member_table_settings settings_;
    core::instance_id self_;
    member_map members_;
    std::map<core::instance_id, tombstone> tombstones_;
};

} // namespace kumquatloom::membership

#endif
