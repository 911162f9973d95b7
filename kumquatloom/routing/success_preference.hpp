#ifndef KUMQUATLOOM_ROUTING_SUCCESS_PREFERENCE_HPP
#define KUMQUATLOOM_ROUTING_SUCCESS_PREFERENCE_HPP

#include <cstdint>

namespace kumquatloom::routing
{

/// How the last known success of an upstream affects whether it is chosen.
/// Upstreams that fail in episodes pass their health check, so that the time
/// since the last success tells most about the next request.
enum class success_preference : std::uint8_t
{
    /// Not at all: the balancing policy alone decides.
    none,
    /// The more recent the better, for an attempt whose failure reaches the
    /// caller.
    recent,
    /// The longer ago the better, for an attempt that can be repeated: it finds
    /// out for the others whether the upstream still works.
    oldest
};

} // namespace kumquatloom::routing

#endif
