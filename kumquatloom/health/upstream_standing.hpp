#ifndef KUMQUATLOOM_HEALTH_UPSTREAM_STANDING_HPP
#define KUMQUATLOOM_HEALTH_UPSTREAM_STANDING_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::health
{

/// How an instance treats an upstream in load balancing.
enum class upstream_standing : std::uint8_t
{
    /// Receives its full load.
    normal,
    /// Receives trial requests, and other requests only if no other upstream
    /// has a free slot.
    avoided,
    /// Receives no requests, because of an ejection record in the log.
    ejected,
    /// Receives a load that rises over time.
    recovering,
    /// Receives no requests, because it is shutting down.
    leaving,
    count
};

/// Returns the metric label of a standing.
std::string_view to_string(upstream_standing standing);

} // namespace kumquatloom::health

#endif
