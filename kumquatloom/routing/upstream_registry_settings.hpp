#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_SETTINGS_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_SETTINGS_HPP

#include <chrono>

namespace kumquatloom::routing
{

/// Time limits of an upstream_registry.
struct upstream_registry_settings
{
    /// Minimum time without a read of the list that counts as an outage. Reads
    /// are well under a second apart, and leases last several seconds.
    std::chrono::milliseconds min_outage{1500};
    /// Time after an outage in which live upstreams can renew their leases: two
    /// seconds are guaranteed, and the rest allows for one read of the list.
    std::chrono::milliseconds grace{2200};
};

} // namespace kumquatloom::routing

#endif
