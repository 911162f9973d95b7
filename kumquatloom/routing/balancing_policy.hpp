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
    /// Two random choices: the one with the lower slot utilisation. Instances
    /// that choose between two load reports choose different upstreams.
    least_used,
    /// The upstream with the lowest slot utilisation; for comparison only. All
    /// instances that choose between two load reports choose the same upstream.
    least_used_of_all,
    /// A random upstream, with a probability proportional to its free slots;
    /// for comparison only.
    free_slots
};

} // namespace kumquatloom::routing

#endif
