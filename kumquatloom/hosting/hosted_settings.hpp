#ifndef KUMQUATLOOM_HOSTING_HOSTED_SETTINGS_HPP
#define KUMQUATLOOM_HOSTING_HOSTED_SETTINGS_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Where an instance listens in an environment that hosts it.
struct hosted_addresses
{
    /// Callers' requests.
    settings::endpoint callers;
    /// The environment asks here whether the instance is ready.
    std::optional<settings::endpoint> readiness;
    /// Callers ask here which instances to use.
    std::optional<settings::endpoint> directory;
    /// Neighbours' messages (UDP) and snapshots (TCP).
    settings::endpoint neighbours;
    /// Metrics and state.
    settings::endpoint operators;
};

/// All settings of a hosted instance.
struct hosted_settings
{
    /// Its name.
    core::instance_id id;
    /// Where it runs.
    core::failure_domain domain;
    core::region region;
    /// The failure domains of its region.
    std::set<core::failure_domain> region_domains;
    /// Where it listens.
    hosted_addresses listen;
    /// The environment's store.
    settings::endpoint store;
    /// Instances that may know others, for a start without the store.
    std::vector<settings::endpoint> seeds;
    /// Time from the request to stop to the end by force.
    std::chrono::milliseconds grace{6000};
    /// Longest time after the start for which callers' connections wait until
    /// their requests can be served: half of what a caller gives a request to
    /// be read.
    std::chrono::milliseconds max_start_delay{500};
    /// Time within which a change of the configuration must be in force, and an
    /// upstream that leaves gets nothing new.
    std::chrono::milliseconds max_change_delay{2000};
    /// Attempts after the first for every 100 requests of a service, over the
    /// whole fleet and the window in which they are counted.
    unsigned retry_percent = 20;
    /// Longest time that callers may keep an answer of the directory.
    std::chrono::milliseconds directory_ttl{5000};
    /// Part of a service's upstreams that is never avoided. An avoided one
    /// keeps its capacity as a reserve, so that this may be below the floor of
    /// ejections: three in ten are gray on an ordinary day, and more by chance.
    double avoidance_floor = 0.4;
    /// Most connections that callers may have open.
    std::size_t descriptors = 4096;
    /// Bytes that the process may use.
    std::size_t memory_bytes = 256 * 1024 * 1024;
};

} // namespace kumquatloom::hosting

#endif
