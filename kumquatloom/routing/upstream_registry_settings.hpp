#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_SETTINGS_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_SETTINGS_HPP

#include <chrono>

namespace kumquatloom::routing
{

/// Time limits of an upstream_registry.
struct upstream_registry_settings
{
    /// Minimum time between two reads of the list that counts as an outage:
    /// longer than the time between regular reads, and shorter than leases
    /// last without a renewal.
    std::chrono::milliseconds min_outage{2000};
    /// Time after an outage in which live upstreams can renew their leases: two
    /// seconds are guaranteed, and the rest allows for one read of the list.
    std::chrono::milliseconds grace{2200};
};

} // namespace kumquatloom::routing

#endif
