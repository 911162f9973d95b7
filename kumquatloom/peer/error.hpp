#ifndef KUMQUATLOOM_PEER_ERROR_HPP
#define KUMQUATLOOM_PEER_ERROR_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::peer
{

/// Why a message could not be sent or got no valid response.
enum class peer_error : std::uint8_t
{
    /// A field exceeds the bounds of the wire format.
    out_of_bounds,
    /// The frame exceeds the bound of its channel.
    oversized,
    /// Messages of this kind are not sent on this channel.
    wrong_channel,
    /// The address is malformed.
    bad_address,
    /// The connection could not be established or was lost.
    connection_failed,
    /// The deadline has passed.
    timeout,
    /// The bound on the number of connections is reached.
    too_many_connections,
    /// The response failed a check of the codec or does not match the request.
    bad_response,
    /// The transport was stopped.
    stopped,
    count
};

/// Name of an error for log lines and metric labels.
std::string_view to_string(peer_error error);

} // namespace kumquatloom::peer

#endif
