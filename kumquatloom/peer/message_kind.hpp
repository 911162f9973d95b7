#ifndef KUMQUATLOOM_PEER_MESSAGE_KIND_HPP
#define KUMQUATLOOM_PEER_MESSAGE_KIND_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::peer
{

/// Kinds of messages of the peer protocol. The values are part of the wire
/// format, so new kinds are added at the end.
enum class message_kind : std::uint8_t
{
    heartbeat,
    probe,
    indirect_probe,
    ack,
    evidence,
    leaving,
    upstream_leaving,
    cell_digest,
    sync_request,
    sync_response,
    share_request,
    share_grant,
    count
};

/// Transport of a message.
enum class channel : std::uint8_t
{
    /// One UDP datagram.
    datagram,
    /// One frame on a TCP connection.
    stream
};

/// Returns the channel on which messages of a kind are sent and accepted.
constexpr channel channel_of(message_kind kind)
{
    return kind < message_kind::sync_request ? channel::datagram
                                             : channel::stream;
}

/// Name of a kind for metric labels.
std::string_view to_string(message_kind kind);

} // namespace kumquatloom::peer

#endif
