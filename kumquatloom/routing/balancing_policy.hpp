#ifndef KUMQUATLOOM_ROUTING_BALANCING_POLICY_HPP
#define KUMQUATLOOM_ROUTING_BALANCING_POLICY_HPP

#include <cstdint>

namespace kumquatloom::routing
{

/// By what an upstream is chosen among those of the nearest distance with a
/// free slot.
enum class balancing_policy : std::uint8_t
{
    /// The cheaper of two random ones by (in flight + 1) x smoothed latency.
    load_and_latency,
    /// The cheaper of two random ones by attempts in flight.
    load,
    /// The one with the smallest part of its slots in use. Only for instances
    /// that know most of the load: with little knowledge they would all choose
    /// the same one.
    least_used
};

} // namespace kumquatloom::routing

#endif
