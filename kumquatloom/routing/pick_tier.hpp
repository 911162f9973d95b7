#ifndef KUMQUATLOOM_ROUTING_PICK_TIER_HPP
#define KUMQUATLOOM_ROUTING_PICK_TIER_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::routing
{

/// Tier that an upstream was picked from. The tiers are in order of preference:
/// localities by distance, then avoided upstreams. Only `trial` is not in this
/// order, because a trial request that is due takes precedence.
enum class pick_tier : std::uint8_t
{
    /// The failure domain of the instance.
    own_domain,
    /// Another failure domain of the instance's region.
    own_region,
    /// Another region; traffic between regions is charged for.
    other_region,
    /// An avoided upstream, because no other one had a free slot.
    avoided,
    /// A trial request at an avoided upstream.
    trial,
    count
};

/// Returns the metric label of a tier.
std::string_view to_string(pick_tier tier);

} // namespace kumquatloom::routing

#endif
