#ifndef KUMQUATLOOM_PEER_SYNC_RESPONSE_HPP
#define KUMQUATLOOM_PEER_SYNC_RESPONSE_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/bounded.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/message_kind.hpp>
#include <kumquatloom/peer/sync_record.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatloom::peer
{

/// Carries log records or one part of a snapshot. With nonce 0 it is an
/// unsolicited push. A push must not renew the receiver's freshness, because
/// the receiver has sent no request whose send time bounds the age.
struct sync_response
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::sync_response;

    /// Nonce of the request; 0 for a push.
    std::uint64_t nonce = 0;
    /// Number of log records that the sender has reduced, see
    /// heartbeat::state_offset.
    core::log_offset state_offset = 0;
    /// First 8 bytes of the sender's chain digest at that offset.
    std::uint64_t chain_digest = 0;
    /// Age of the sender's freshness when the response was sent, see
    /// heartbeat::freshness_age.
    std::chrono::milliseconds freshness_age{0};
    /// Records in log order.
    std::vector<sync_record> records;
    /// Chain digest after the last of the records.
    core::sha256_digest chain_after{};
    /// Number of records that the snapshot covers; 0 if the response carries no
    /// part of a snapshot.
    core::log_offset snapshot_offset = 0;
    /// Size of the whole snapshot in bytes.
    std::uint64_t snapshot_size = 0;
    /// Byte position of the part in the snapshot.
    std::uint64_t snapshot_position = 0;
    /// Bytes of the part.
    std::string snapshot_part;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(nonce, state_offset, chain_digest);
        archive(wire_milliseconds(freshness_age));
        archive(bounded<max_sync_records>(records));
        for (auto& byte : chain_after)
            archive(byte);
        archive(snapshot_offset, snapshot_size, snapshot_position);
        archive(bounded<max_record_bytes>(snapshot_part));
    }

    friend bool operator==(sync_response const&,
                           sync_response const&) = default;
};

} // namespace kumquatloom::peer

#endif
