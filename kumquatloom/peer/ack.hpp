#ifndef KUMQUATLOOM_PEER_ACK_HPP
#define KUMQUATLOOM_PEER_ACK_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <chrono>
#include <cstdint>

namespace kumquatloom::peer
{

/// Response to a probe. It is sent by the probed member, or forwarded by a
/// member that probed it on behalf of another one. It carries the freshness of
/// the probed member, which lets the receiver renew its own freshness without a
/// stream connection.
struct ack
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::ack;

    /// Nonce of the probe.
    std::uint64_t nonce = 0;
    /// The probed member.
    core::instance_id subject;
    /// Incarnation of the probed member.
    core::incarnation incarnation = 0;
    /// Refutation number of the probed member.
    std::uint32_t refutation = 0;
    /// Whether the probed member is leaving.
    bool leaving = false;
    /// Number of log records that the probed member has reduced, see
    /// heartbeat::state_offset.
    core::log_offset state_offset = 0;
    /// First 8 bytes of the probed member's chain digest at that offset.
    std::uint64_t chain_digest = 0;
    /// Age of the probed member's freshness when it sent the ack, see
    /// heartbeat::freshness_age.
    std::chrono::milliseconds freshness_age{0};

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, bounded<max_name_bytes>(subject), incarnation);
        archive(refutation, wire_flag(leaving), state_offset, chain_digest);
        archive(wire_milliseconds(freshness_age));
    }

    friend bool operator==(ack const&, ack const&) = default;
};

} // namespace kumquatloom::peer

#endif
