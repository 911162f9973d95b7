#ifndef KUMQUATLOOM_MEMBERSHIP_MEMBER_HPP
#define KUMQUATLOOM_MEMBERSHIP_MEMBER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/lateness_filter.hpp>
#include <kumquatloom/membership/member_state.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquatloom::membership
{

/// State of another member of the cell as known to this instance.
struct member
{
    core::instance_id id;
    /// Latest known incarnation; 0 if the member was never heard from.
    core::incarnation incarnation = 0;
    /// Refutation number, which the member increases to refute suspicions.
    std::uint32_t refutation = 0;
    core::failure_domain failure_domain;
    core::region region;
    /// Address for callers as "ip:port".
    std::string callers_address;
    /// Address for messages of other instances.
    settings::endpoint peer_address;
    member_state state = member_state::unheard;

    /// Latest time at which the member is known to have been alive. A late
    /// message or an ack proves an earlier time than its arrival.
    core::time_point last_heard;
    /// Start of the silence from which the state is derived. Pauses of this
    /// instance are excluded.
    core::time_point silent_since;
    /// Time of the last message received directly from the member. Used only to
    /// decide about probes; pauses of this instance are excluded.
    core::time_point last_direct;
    /// Time at which the member was added to the table.
    core::time_point added;

    /// Whether the platform's list contains the member.
    bool listed = false;
    /// Whether the platform's list marks it as leaving.
    bool listed_leaving = false;
    /// Incarnation that was known when the list first marked it as leaving. The
    /// mark does not apply to later incarnations.
    core::incarnation listed_leaving_incarnation = 0;
    /// Whether this incarnation has announced that it is leaving, which is
    /// final.
    bool announced_leaving = false;
    /// Whether another member reported it as suspect.
    bool suspected_by_peer = false;

    bool ready = false;
    /// Whether it is an elected reader of the log.
    bool reader = false;
    /// False for a time after it failed to read the log, unless a later read
    /// succeeded.
    bool log_readable = true;
    /// Whether it is the elected relay of the cell.
    bool relay = false;
    /// Number of reduced records; see local_state.
    core::log_offset state_offset = 0;
    /// First 8 bytes of its chain digest.
    std::uint64_t chain_digest = 0;
    /// Offset of its last accepted edit.
    core::log_offset document_version = 0;
    /// Time as of which its state is fresh, by the local clock.
    core::time_point fresh_as_of;
    /// Uptime in the last heartbeat; orders heartbeats.
    std::chrono::milliseconds uptime{0};
    /// Measures how late messages of the incarnation are.
    lateness_filter lateness;

    /// Whether any message of the member was received.
    bool heard() const
    {
        return incarnation != 0;
    }

    /// Whether the member was heard from and is neither suspect, dead nor
    /// leaving.
    bool live() const
    {
        return state == member_state::live;
    }
};

} // namespace kumquatloom::membership

#endif
