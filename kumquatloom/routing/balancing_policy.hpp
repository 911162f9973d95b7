#ifndef KUMQUATLOOM_ROUTING_BALANCING_POLICY_HPP
#define KUMQUATLOOM_ROUTING_BALANCING_POLICY_HPP

#include <cstdint>

namespace kumquatloom::routing
{

/// Load-balancing policy: how an upstream is chosen among those with a free
/// slot in the nearest locality.
enum class balancing_policy : std::uint8_t
{
    /// Two random choices: the one with the lower product of (attempts in
    /// flight + 1) and smoothed latency, divided by the smoothed success rate.
    load_and_latency,
    /// Two random choices: the one with fewer attempts in flight.
    load,
    /// The upstream with the lowest slot utilisation. Only for instances that
    /// know most of the load from other instances; with little knowledge of it,
    /// all instances would choose the same upstream.
    least_used
};

} // namespace kumquatloom::routing

#endif
