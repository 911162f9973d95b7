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
/// Only silence and the members' own words change what is thought of them;
/// suspicions of others only cause probes. The list adds members and may say
/// that one is leaving, but it never keeps a silent member alive.
class member_table
{
public:
    /// The members by id.
    using member_map = std::map<core::instance_id, member>;

    /// How a message fitted into the table.
    enum class contact : std::uint8_t
    {
        /// It was ignored: an ended incarnation, or no room.
        ignored,
        /// It came from a known incarnation.
        known,
        /// It was the first from this incarnation.
        first
    };

    /// An empty table for the instance `self`.
    member_table(member_table_settings settings, core::instance_id self);

    /// Takes in a heartbeat that came directly from its sender.
    contact record(core::instance_id const& sender,
                   core::incarnation incarnation,
                   peer::heartbeat const& beat,
                   settings::endpoint const& source,
                   core::time_point now);

    /// How late another message of a member is, from the uptime in it; nothing
    /// if the incarnation was never heard from.
    std::optional<core::duration> lateness(core::instance_id const& sender,
                                           core::incarnation incarnation,
                                           std::chrono::milliseconds uptime,
                                           core::time_point now);

    /// Takes in an ack. It proves that its subject lived at `asked`, when the
    /// probe was sent.
    void record(peer::ack const& answer,
                bool direct,
                core::time_point asked,
                core::time_point now);

    /// Takes in that an incarnation is leaving.
    void hear_leaving(core::instance_id const& sender,
                      core::incarnation incarnation);

    /// Remembers that another member suspects this one.
    void accuse(core::instance_id const& accused,
                core::incarnation incarnation,
                std::uint32_t refutation);

    /// Takes in the platform's list, already restricted to this cell.
    void apply_list(std::vector<listed_instance> const& list,
                    core::time_point now);

    /// Adds a member that a peer named, so that heartbeats are sent to it.
    void add_contact(listed_instance const& named, core::time_point now);

    /// Judges every member by its silence and removes those that are gone.
    void judge(core::time_point now);

    /// Excludes a time in which this instance was paused from every silence.
    void excuse(core::duration pause, core::time_point now);

    /// All members.
    member_map const& members() const
    {
        return members_;
    }

    /// One member, or null.
    member const* find(core::instance_id const& id) const;

    /// Number of tombstones.
    std::size_t tombstones() const
    {
        return tombstones_.size();
    }

private:
    /// What remains of a removed member.
    struct tombstone
    {
        /// Its newest incarnation.
        core::incarnation incarnation = 0;
        /// Whether that incarnation was leaving.
        bool leaving = false;
        /// When it was removed.
        core::time_point removed;
    };

    member* make(core::instance_id const& id, core::time_point now);
    member* member_of(core::instance_id const& sender,
                      core::incarnation incarnation,
                      core::time_point now,
                      contact& how);
    void bury(member const& gone, core::time_point now);
    bool gone(member const& item, core::time_point now) const;
    member_state state_of(member const& item, core::time_point now) const;

    /// Times and bounds.
    member_table_settings settings_;
    /// This instance, which is not part of the table.
    core::instance_id self_;
    /// The members.
    member_map members_;
    /// Removed members.
    std::map<core::instance_id, tombstone> tombstones_;
};

} // namespace kumquatloom::membership

#endif
