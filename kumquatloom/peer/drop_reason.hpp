#ifndef KUMQUATLOOM_PEER_DROP_REASON_HPP
#define KUMQUATLOOM_PEER_DROP_REASON_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::peer
{

/// Why a received frame was dropped.
enum class drop_reason : std::uint8_t
{
    /// The bytes are not a frame, or the body is not a message of its kind.
    malformed,
    /// The frame exceeds the bound of its channel.
    oversized,
    /// The sequence number was received before or is older than the replay
    /// window, the incarnation has ended, or the frame names this instance with
    /// its current incarnation as the sender.
    replayed,
    /// The frame belongs to another fleet.
    foreign_fleet,
    /// The frame has a newer version of the wire format.
    future_version,
    /// The key id is unknown or the HMAC does not match.
    bad_authentication,
    /// The frame is authentic, but its kind is unknown or belongs to the other
    /// channel.
    unknown_kind,
    /// The bound on the number of replay windows is reached.
    too_many_senders,
    count
};

/// Name of a reason for metric labels.
std::string_view to_string(drop_reason reason);

} // namespace kumquatloom::peer

#endif
