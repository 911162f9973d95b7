#ifndef KUMQUATLOOM_PEER_INDIRECT_PROBE_HPP
#define KUMQUATLOOM_PEER_INDIRECT_PROBE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>
#include <string>

namespace kumquatloom::peer
{

/// Asks a member to probe another one and to forward its ack.
struct indirect_probe
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::indirect_probe;

    /// Random number that the ack must repeat.
    std::uint64_t nonce = 0;
    /// The member to probe.
    core::instance_id target;
    /// The newest incarnation of the target that the sender knows of.
    core::incarnation target_incarnation = 0;
    /// Peer address of the target. Receivers ignore it: they probe only targets
    /// that they know, so that nobody can direct datagrams to arbitrary hosts.
    std::string target_address;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce,
                bounded<max_name_bytes>(target),
                target_incarnation,
                bounded<max_address_bytes>(target_address));
    }

    friend bool operator==(indirect_probe const&,
                           indirect_probe const&) = default;
};

} // namespace kumquatloom::peer

#endif
