#ifndef KUMQUATLOOM_PEER_DIGEST_MEMBER_HPP
#define KUMQUATLOOM_PEER_DIGEST_MEMBER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace kumquatloom::peer
{

/// One member of a cell, as a digest describes it.
struct digest_member
{
    /// The member.
    core::instance_id id;
    /// Its process start.
    core::incarnation incarnation = 0;
    /// Callers' address as "ip:port".
    std::string callers_address;
    /// Peers' address as "ip:port".
    std::string peer_address;
    /// Index into the digest's list of failure domains.
    std::uint8_t domain_index = 0;
    /// Whether it serves callers.
    bool ready = false;
    /// Whether its freshness is younger than the freshness lease.
    bool fresh = false;
    /// Whether it is leaving.
    bool leaving = false;
    /// Time since it was last heard from, added up along the way.
    std::chrono::milliseconds age{0};

    /// cereal's entry point.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(bounded<max_name_bytes>(id), incarnation);
        archive(bounded<max_address_bytes>(callers_address),
                bounded<max_address_bytes>(peer_address));
        archive(domain_index, wire_flag(ready), wire_flag(fresh));
        archive(wire_flag(leaving), wire_milliseconds(age));
    }

    friend bool operator==(digest_member const&,
                           digest_member const&) = default;
};

} // namespace kumquatloom::peer

#endif
