#ifndef KUMQUATLOOM_PEER_FRAME_HPP
#define KUMQUATLOOM_PEER_FRAME_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/message.hpp>

#include <cstddef>
#include <cstdint>

namespace kumquatloom::peer
{

/// A received frame that passed every check.
struct frame
{
    /// The instance that the frame names as its sender; see frame_codec for
    /// what the authentication proves about it.
    core::instance_id sender;
    /// Process start of the sender.
    core::incarnation incarnation = 0;
    /// Number of the frame in that incarnation.
    std::uint64_t sequence = 0;
    /// The message.
    message body;
    /// Size of the encoded frame.
    std::size_t size_bytes = 0;
};

} // namespace kumquatloom::peer

#endif
