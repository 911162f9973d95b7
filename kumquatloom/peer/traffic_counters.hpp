#ifndef KUMQUATLOOM_PEER_TRAFFIC_COUNTERS_HPP
#define KUMQUATLOOM_PEER_TRAFFIC_COUNTERS_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/peer/message_kind.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatloom::peer
{

/// Whether a message was sent or received.
enum class direction : std::uint8_t
{
    sent,
    received,
    count
};

/// Location of the peer relative to this instance.
enum class peer_scope : std::uint8_t
{
    same_region,
    other_region,
    count
};

/// Name of a direction for metric labels.
std::string_view to_string(direction flow_direction);

/// Name of a scope for metric labels.
std::string_view to_string(peer_scope scope);

/// Counts messages and their bytes by kind, direction and scope. The bytes are
/// the sizes of the frames, without the length prefixes on streams and the
/// headers of UDP, TCP and IP. Thread-safe.
class traffic_counters
{
public:
    /// Counts one frame.
    void add(message_kind kind,
             direction flow_direction,
             peer_scope scope,
             std::size_t frame_bytes);

    /// Number of messages.
    std::uint64_t messages(message_kind kind,
                           direction flow_direction,
                           peer_scope scope) const;

    /// Total size of the frames in bytes.
    std::uint64_t
    bytes(message_kind kind, direction flow_direction, peer_scope scope) const;

private:
    /// Counters of one direction and scope.
    struct family
    {
        /// Messages by kind.
        core::counter_family<message_kind> messages;
        /// Bytes by kind.
        core::counter_family<message_kind> bytes;
    };

    family& of(direction flow_direction, peer_scope scope);
    family const& of(direction flow_direction, peer_scope scope) const;

    /// Counters by direction and scope.
    family families_[static_cast<std::size_t>(direction::count)]
                    [static_cast<std::size_t>(peer_scope::count)];
};

} // namespace kumquatloom::peer

#endif
