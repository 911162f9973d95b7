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

/// One member of a cell in a cell digest.
struct digest_member
{
    /// Id of the member.
    core::instance_id id;
    /// Incarnation of the member.
    core::incarnation incarnation = 0;
    /// Address for callers as "ip:port".
    std::string callers_address;
    /// Peer address as "ip:port".
    std::string peer_address;
    /// Index into cell_digest::domains.
    std::uint8_t domain_index = 0;
    /// Whether the member serves callers.
    bool ready = false;
    /// Whether the age of the member's freshness is within the freshness lease.
    bool fresh = false;
    /// Whether the member is leaving.
    bool leaving = false;
    /// Time since the last message from the member, including the delays of all
    /// hops.
    std::chrono::milliseconds age{0};

    /// Reads or writes the fields; called by cereal.
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
