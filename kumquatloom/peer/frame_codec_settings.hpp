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
    /// Channel of the encoded and decoded frames.
    peer::channel channel = peer::channel::datagram;
    /// Name of the fleet.
    std::string fleet;
    /// One or two valid keys; the first one authenticates sent frames.
    std::vector<settings::fleet_key> keys;
    /// Id of this instance, used as the sender.
    core::instance_id self;
    /// Incarnation of this instance.
    core::incarnation incarnation = 0;
    /// Maximum number of senders with a replay window. A window and the
    /// sender's id take about 250 bytes.
    std::size_t max_senders = 512;
};

} // namespace kumquatloom::peer

#endif
