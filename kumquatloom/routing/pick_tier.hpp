#ifndef KUMQUATLOOM_ROUTING_PICK_TIER_HPP
#define KUMQUATLOOM_ROUTING_PICK_TIER_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::routing
{

/// How far from the instance an upstream was picked.
enum class pick_tier : std::uint8_t
{
    /// The instance's own failure domain: no spill.
    own_domain,
    /// Another failure domain of its region.
    own_region,
    /// Another region, over the link that is paid for.
    other_region,
    /// An avoided upstream, because no other one had a free slot.
    avoided,
    /// A trial request at an avoided upstream.
    trial,
    count
};

/// The kind of spill as a metric label.
std::string_view to_string(pick_tier tier);

} // namespace kumquatloom::routing

#endif
