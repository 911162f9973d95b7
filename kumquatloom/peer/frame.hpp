#ifndef KUMQUATLOOM_PEER_FRAME_HPP
#define KUMQUATLOOM_PEER_FRAME_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/message.hpp>

#include <cstddef>
#include <cstdint>

namespace kumquatloom::peer
{

/// A received frame that has passed all checks of the codec.
struct frame
{
    /// The instance that the frame names as its sender; see frame_codec for the
    /// limits of its authentication.
    core::instance_id sender;
    /// Incarnation of the sender.
    core::incarnation incarnation = 0;
    /// Sequence number of the frame in that incarnation.
    std::uint64_t sequence = 0;
    /// The message.
    message body;
    /// Size of the encoded frame.
    std::size_t size_bytes = 0;
};

} // namespace kumquatloom::peer

#endif
