#ifndef KUMQUATLOOM_PEER_ERROR_HPP
#define KUMQUATLOOM_PEER_ERROR_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::peer
{

/// Why a message could not be sent or was not answered.
enum class peer_error : std::uint8_t
{
    /// A field exceeds the bounds of the wire format.
    out_of_bounds,
    /// The frame exceeds the bound of its channel.
    oversized,
    /// The message does not travel on this channel.
    wrong_channel,
    /// The address is malformed.
    bad_address,
    /// No connection could be made, or it broke.
    connection_failed,
    /// The deadline has passed.
    timeout,
    /// The bound on connections is reached.
    too_many_connections,
    /// The response was dropped, or does not belong to the request.
    bad_response,
    /// The transport was stopped.
    stopped,
    count
};

/// Name of an error, used in log lines and as a metric label.
std::string_view to_string(peer_error error);

} // namespace kumquatloom::peer

#endif
