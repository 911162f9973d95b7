#ifndef KUMQUATLOOM_PEER_FRAME_CODEC_SETTINGS_HPP
#define KUMQUATLOOM_PEER_FRAME_CODEC_SETTINGS_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/message_kind.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace kumquatloom::peer
{

/// Settings of a frame codec.
struct frame_codec_settings
{
    /// The channel whose frames are encoded and decoded.
    peer::channel channel = peer::channel::datagram;
    /// Name of the fleet.
    std::string fleet;
    /// One or two keys; the first one authenticates what is sent.
    std::vector<settings::fleet_key> keys;
    /// This instance.
    core::instance_id self;
    /// Its process start.
    core::incarnation incarnation = 0;
    /// Most senders with a replay window. A window takes about 250 bytes with
    /// its sender's name.
    std::size_t max_senders = 512;
};

} // namespace kumquatloom::peer

#endif
