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

/// Answers a probe, or passes the answer of a probed member on. It also tells
/// how fresh the probed member is, so that the asker can take over its
/// freshness without a stream connection.
struct ack
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::ack;

    /// Number of the probe.
    std::uint64_t nonce = 0;
    /// The member that answered.
    core::instance_id subject;
    /// Its process start.
    core::incarnation incarnation = 0;
    /// Its refutation number.
    std::uint32_t refutation = 0;
    /// Whether it is leaving.
    bool leaving = false;
    /// Offset of its last reduced record.
    core::log_offset state_offset = 0;
    /// First 8 bytes of its chain digest.
    std::uint64_t chain_digest = 0;
    /// Age of its freshness when it answered.
    std::chrono::milliseconds freshness_age{0};

    /// cereal's entry point.
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
