#ifndef KUMQUATLOOM_PEER_DESTINATION_HPP
#define KUMQUATLOOM_PEER_DESTINATION_HPP

#include <kumquatloom/peer/traffic_counters.hpp>
#include <kumquatloom/settings/endpoint.hpp>

namespace kumquatloom::peer
{

/// Receiver of a message.
struct destination
{
    /// Peer address of the receiver.
    settings::endpoint address;
    /// Whether the receiver is in the sender's region; selects the traffic
    /// counters.
    peer_scope scope = peer_scope::same_region;

    friend bool operator==(destination const&, destination const&) = default;
};

} // namespace kumquatloom::peer

#endif
