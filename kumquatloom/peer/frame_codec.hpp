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
/// What the HMAC proves: the whole frame was written by a holder of a fleet
/// key. All instances hold the same key, so it does *not* prove which of them
/// wrote it: an instance that was taken over can name any sender id. The sender
/// id is protected against outsiders and faults, not against members of the
/// fleet; guarding against members would need a key pair per instance.
///
/// A frame names no receiver. A captured datagram can therefore be delivered
/// to another instance once, where it says what it said to the first one;
/// probes, acks and requests carry nonces or their target for that reason. An
/// instance that restarts has no replay windows, and accepts captured frames of
/// live incarnations until it hears newer ones. The key of the HMAC is derived
/// per channel, so that a datagram is never accepted on a stream.
///
/// Not thread-safe: each transport uses its codec from its own strand.
class frame_codec
{
public:
    /// Version of the wire format.
    static constexpr std::uint8_t version = 1;
    /// Size of a frame without sender id and body.
    static constexpr std::size_t overhead_bytes = 55;

    /// Prepares the keys. There must be at least one.
    explicit frame_codec(frame_codec_settings settings);

    /// The message as a frame with the next sequence number. The same bytes
    /// may be sent to several peers.
    core::result<std::string, peer_error> encode(message const& body);

    /// Checks and decodes a received frame; counts it if it is dropped.
    core::result<frame, drop_reason> decode(std::string_view bytes,
                                            core::time_point now);

    /// Continues as another incarnation, after the instance learned that its
    /// own id had a higher one before.
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
        /// Number that frames name.
        std::uint32_t id = 0;
        /// Key of the HMAC.
        std::string secret;
    };

    core::result<frame, drop_reason> check(std::string_view bytes,
                                           core::time_point now);
    derived_key const* find_key(std::uint32_t id) const;
    std::size_t max_frame_bytes() const;

    /// Channel, names and bounds.
    frame_codec_settings settings_;
    /// Hash of the fleet's name.
    std::uint64_t fleet_hash_;
    /// Keys that are valid, the one for sending first.
    std::vector<derived_key> keys_;
    /// Sequence number of the last encoded frame.
    std::uint64_t sequence_ = 0;
    /// Replay windows of the senders.
    replay_guard guard_;
    /// Counters of dropped frames.
    core::counter_family<drop_reason> drops_;
};

/// The message as cereal portable binary. Throws if a field is out of bounds.
std::string encode_body(message const& body);

/// The message of a kind that the bytes hold; nothing if they are malformed.
std::optional<message> decode_body(message_kind kind, std::string_view bytes);

} // namespace kumquatloom::peer

#endif
