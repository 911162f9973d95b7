#ifndef KUMQUATLOOM_PEER_TCP_TRANSPORT_SETTINGS_HPP
#define KUMQUATLOOM_PEER_TCP_TRANSPORT_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::peer
{

/// Bounds of a TCP transport.
struct tcp_transport_settings
{
    /// Maximum number of connections opened by peers. With frames of 256 KiB
    /// they occupy at most 8 MiB.
    std::size_t incoming_connections = 32;
    /// Maximum number of connections opened by this instance.
    std::size_t outgoing_connections = 32;
    /// Time limit from accepting a connection to the end of the response.
    std::chrono::milliseconds incoming_deadline{2000};
};

} // namespace kumquatloom::peer

#endif
