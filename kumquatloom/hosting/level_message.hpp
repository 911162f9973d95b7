#ifndef KUMQUATLOOM_HOSTING_LEVEL_MESSAGE_HPP
#define KUMQUATLOOM_HOSTING_LEVEL_MESSAGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/hosting/message_codec.hpp>
#include <kumquatloom/limits/service_room.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace kumquatloom::hosting
{

/// Bound of a message. With 15 bytes for each service, it stays below 600
/// bytes.
inline constexpr std::size_t max_level_services = 32;
/// Version of the format. It differs from the versions of the other messages,
/// so that an instance of an older build rejects the message.
inline constexpr std::uint8_t level_message_version = 161;

/// What one instance observes of the room for the requests to its services,
/// sent to neighbours while room is short.
struct level_message
{
    std::uint8_t version = level_message_version;
    /// Failure domain of the sender.
    core::failure_domain domain;
    core::incarnation incarnation = 0;
    /// Increases with each message of the incarnation.
    std::uint32_t sequence = 0;
    std::vector<limits::service_room> rooms;

    /// Serializes the message with cereal.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version);
        if (version != level_message_version)
            throw peer::bounds_error();
        auto name = peer::bounded<peer::max_name_bytes>(domain);
        auto bounded_rooms = peer::bounded<max_level_services>(rooms);
        archive(name, incarnation, sequence, bounded_rooms);
    }
};

} // namespace kumquatloom::hosting

#endif
