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

/// What this instance knows about another member.
struct member
{
    /// The member.
    core::instance_id id;
    /// Its newest process start; 0 if it was never heard from.
    core::incarnation incarnation = 0;
    /// Its refutation number.
    std::uint32_t refutation = 0;
    /// Its failure domain.
    core::failure_domain failure_domain;
    /// Its region.
    core::region region;
    /// Its callers' address as "ip:port".
    std::string callers_address;
    /// Its peers' address.
    settings::endpoint peer_address;
    /// What this instance thinks of it.
    member_state state = member_state::unheard;

    /// The latest time at which it is known to have lived. Late messages and
    /// acks count from the time they prove, not from their arrival.
    core::time_point last_heard;
    /// When the silence by which it is judged began. The times in which this
    /// instance itself was paused are not part of it.
    core::time_point silent_since;
    /// When a message came from it without another member in between. Only
    /// probing depends on it; pauses of this instance are not part of it.
    core::time_point last_direct;
    /// When it entered the table.
    core::time_point added;

    /// Whether the list contains it.
    bool listed = false;
    /// Whether the list says that it is leaving.
    bool listed_leaving = false;
    /// Incarnation that the list's word "leaving" was first seen for. A later
    /// incarnation is not meant by it.
    core::incarnation listed_leaving_incarnation = 0;
    /// Whether this incarnation said that it is leaving, which is final.
    bool said_leaving = false;
    /// Whether another member suspects it.
    bool accused = false;

    /// Whether it serves callers.
    bool ready = false;
    /// Whether it reads the log.
    bool reader = false;
    /// Whether it could read the log when it last had to.
    bool log_readable = true;
    /// Whether it relays digests.
    bool relay = false;
    /// Offset of its last reduced record.
    core::log_offset state_offset = 0;
    /// First 8 bytes of its chain digest.
    std::uint64_t chain_digest = 0;
    /// Offset of its last accepted edit.
    core::log_offset document_version = 0;
    /// The time as of which it is fresh, on this instance's clock.
    core::time_point fresh_as_of;
    /// Uptime in its newest heartbeat, which orders heartbeats.
    std::chrono::milliseconds uptime{0};
    /// Finds late heartbeats of the incarnation.
    lateness_filter lateness;

    /// Whether it was heard from at all.
    bool heard() const
    {
        return incarnation != 0;
    }

    /// Whether it may be counted on: heard from, and neither suspect nor
    /// leaving.
    bool live() const
    {
        return state == member_state::live;
    }
};

} // namespace kumquatloom::membership

#endif
