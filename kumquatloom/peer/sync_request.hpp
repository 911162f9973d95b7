#ifndef KUMQUATLOOM_PEER_SYNC_REQUEST_HPP
#define KUMQUATLOOM_PEER_SYNC_REQUEST_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstdint>

namespace kumquatloom::peer
{

/// Asks a peer for log records from an offset on, or for a part of a snapshot.
struct sync_request
{
    /// Kind of this message.
    static constexpr message_kind kind = message_kind::sync_request;

    /// Random number that the response must repeat.
    std::uint64_t nonce = 0;
    /// Number, counted from 1, of the first record that the sender is missing:
    /// its offset plus 1. 0 has the same meaning as 1.
    core::log_offset first_missing_record = 0;
    /// Number of records that the requested snapshot covers; 0 if no snapshot
    /// is being fetched.
    core::log_offset snapshot_offset = 0;
    /// Number of bytes of that snapshot that the sender has received.
    std::uint64_t snapshot_position = 0;

    /// Reads or writes the fields; called by cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(
            nonce, first_missing_record, snapshot_offset, snapshot_position);
    }

    friend bool operator==(sync_request const&, sync_request const&) = default;
};

} // namespace kumquatloom::peer

#endif
