#ifndef KUMQUATLOOM_PEER_FRAME_CODEC_HPP
#define KUMQUATLOOM_PEER_FRAME_CODEC_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/peer/drop_reason.hpp>
#include <kumquatloom/peer/error.hpp>
#include <kumquatloom/peer/frame.hpp>
#include <kumquatloom/peer/frame_codec_settings.hpp>
#include <kumquatloom/peer/message.hpp>
#include <kumquatloom/peer/replay_guard.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::peer
{

/// Encodes messages into authenticated frames and checks received frames.
///
/// The HMAC proves that the frame was written by a holder of a fleet key. All
/// instances share the key, so it does *not* prove which of them wrote the
/// frame: a compromised instance can use any sender id. The sender id is thus
/// protected against outsiders and corruption, but not against members of the
/// fleet; that would take a key pair per instance.
///
/// A frame names no receiver. A captured datagram can therefore be replayed
/// once to each other instance; for that reason, probes, acks and requests
/// carry nonces or their target. A restarted instance has empty replay windows
/// and accepts captured frames of live incarnations until it receives newer
/// ones. The HMAC key is derived per channel, so that a datagram is never
/// accepted on a stream.
///
/// Not thread-safe: each transport calls its codec on its own strand.
class frame_codec
{
public:
    /// Version of the wire format.
    static constexpr std::uint8_t version = 1;
    /// Size of the header and HMAC of a frame, without sender id and body.
    static constexpr std::size_t overhead_bytes = 55;

    /// Derives the HMAC keys. The settings must have at least one key.
    explicit frame_codec(frame_codec_settings settings);

    /// Encodes a message as a frame with the next sequence number. The same
    /// bytes may be sent to several peers.
    core::result<std::string, peer_error> encode(message const& body);

    /// Checks and decodes a received frame. A frame that fails a check is
    /// counted as dropped.
    core::result<frame, drop_reason> decode(std::string_view bytes,
                                            core::time_point now);

    /// Continues with a higher incarnation, after the instance has learned that
    /// its id was used with a higher one before.
    void adopt_incarnation(core::incarnation incarnation);

    /// Counters of dropped frames.
    core::counter_family<drop_reason> const& drops() const
    {
        return drops_;
    }

    /// Number of senders with a replay window.
    std::size_t senders() const
    {
        return guard_.senders();
    }

private:
    /// A key after derivation.
    struct derived_key
    {
        /// Key id in the frame header.
        std::uint32_t id = 0;
        /// Key of the HMAC.
        std::string secret;
    };

    core::result<frame, drop_reason> check(std::string_view bytes,
                                           core::time_point now);
    derived_key const* find_key(std::uint32_t id) const;
    std::size_t max_frame_bytes() const;

    /// Channel, fleet, sender identity and bounds.
    frame_codec_settings settings_;
    /// Hash of the fleet's name.
    std::uint64_t fleet_hash_;
    /// Valid keys; the first one authenticates sent frames.
    std::vector<derived_key> keys_;
    /// Sequence number of the last encoded frame.
    std::uint64_t sequence_ = 0;
    /// Replay windows of the senders.
    replay_guard guard_;
    /// Counters of dropped frames.
    core::counter_family<drop_reason> drops_;
};

/// Encodes a message in cereal's portable binary format. Throws bounds_error if
/// a field is out of bounds.
std::string encode_body(message const& body);

/// Decodes a message of the given kind; nothing if the bytes are malformed.
std::optional<message> decode_body(message_kind kind, std::string_view bytes);

} // namespace kumquatloom::peer

#endif
