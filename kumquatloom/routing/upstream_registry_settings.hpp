#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_SETTINGS_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_SETTINGS_HPP

#include <chrono>

namespace kumquatloom::routing
{

/// Times of a registry of upstreams.
struct upstream_registry_settings
{
    /// A longer time without a read of the list is an outage. Reads are well
    /// under a second apart, and leases last several seconds.
    std::chrono::milliseconds outage{1500};
    /// Time after an outage in which live upstreams renew their leases: two
    /// seconds are promised, the rest is the time of a read.
    std::chrono::milliseconds grace{2200};
};

} // namespace kumquatloom::routing

#endif
