#ifndef KUMQUATLOOM_HEALTH_UPSTREAM_STANDING_HPP
#define KUMQUATLOOM_HEALTH_UPSTREAM_STANDING_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::health
{

/// How an instance treats an upstream when it picks one.
enum class upstream_standing : std::uint8_t
{
    /// Receives its full share.
    normal,
    /// Receives work only if no other upstream has a free slot.
    avoided,
    /// Receives nothing, by a record in the log.
    ejected,
    /// Receives a share that rises with time.
    recovering,
    /// Receives nothing, because it is shutting down.
    leaving,
    count
};

/// The standing as a metric label.
std::string_view to_string(upstream_standing standing);

} // namespace kumquatloom::health

#endif
