#ifndef KUMQUATLOOM_HOSTING_HOSTED_SETTINGS_HPP
#define KUMQUATLOOM_HOSTING_HOSTED_SETTINGS_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/limits/quota_settings.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatloom::hosting
{

/// Listening addresses of a hosted instance.
struct hosted_addresses
{
    /// Requests of callers.
    settings::endpoint callers;
    /// Readiness page, requested by the hosting platform.
    std::optional<settings::endpoint> readiness;
    /// Directory page, which lists the instances that callers should use.
    std::optional<settings::endpoint> directory;
    /// Messages (UDP) and snapshots (TCP) exchanged with neighbours.
    settings::endpoint neighbours;
    /// Metrics and status pages.
    settings::endpoint operators;
};

/// Settings of a hosted instance.
struct hosted_settings
{
    /// Unique name of the instance.
    core::instance_id id;
    /// Location of the instance.
    core::failure_domain domain;
    core::region region;
    /// Failure domains of its region.
    std::set<core::failure_domain> region_domains;
    hosted_addresses listen;
    /// Address of the platform's store.
    settings::endpoint store;
    /// Instances that are sent a hello message at start, so that neighbours are
    /// found even if the store is unreachable.
    std::vector<settings::endpoint> seeds;
    /// Grace period: time from the stop signal until the platform kills the
    /// process.
    std::chrono::milliseconds grace{6000};
    /// Maximum time after the start for which callers' connections wait until
    /// requests can be served: half of the time that a caller allows for its
    /// request to be read.
    std::chrono::milliseconds max_start_delay{500};
    /// Maximum time until a change of the configuration is in force, and until
    /// a leaving upstream gets no new requests.
    std::chrono::milliseconds max_change_delay{2000};
    /// Retries and hedges allowed per 100 requests of a service, over the whole
    /// fleet and one counting window.
    unsigned retry_percent = 20;
    /// How far an organisation may exceed its quota.
    limits::quota_settings quota;
    /// How long a removed credential may work on an instance that cannot learn
    /// of the removal.
    std::chrono::milliseconds max_revocation_delay{5000};
    /// Whether an instance refuses requests with a credential once its
    /// configuration is older than `max_revocation_delay`.
    bool strict_revocation = false;
    /// Routes with a time limit of at most this use the cost-aware request
    /// policy; 0 disables it.
    std::chrono::milliseconds short_time_limit{1000};
    /// Whether cost-aware requests are refused below an admission level that
    /// the instances of a failure domain agree on, see
    /// docs/design/admission-level.md.
    bool admission_level = false;
    /// Time for which callers may cache the directory page.
    std::chrono::milliseconds directory_ttl{5000};
    /// Fraction of a service's upstreams that is never avoided. It may be lower
    /// than the fraction that must not be ejected, because avoided upstreams
    /// still serve as reserve capacity. It leaves room to avoid the upstreams
    /// with gray failures: about 30% in normal operation, and sometimes more.
    double avoidance_floor = 0.4;
    /// File descriptor limit of the process. Callers' connections get what the
    /// other uses leave.
    std::size_t descriptors = 4096;
    /// Maximum number of callers' connections; 0 for those that the other uses
    /// leave of `descriptors`.
    std::size_t caller_connections = 0;
    /// Maximum number of connections to each of the other ports; 0 for an
    /// eighth of the descriptors that are not for callers. The ports together
    /// get half of them, and upstreams the other half.
    std::size_t port_connections = 0;
    /// Minimum rate of a request's body, in bytes per second; see
    /// settings::caller_settings::min_body_rate.
    std::size_t min_body_rate = 16 * 1024;
    /// Maximum time for which a message waits for memory; see
    /// settings::caller_settings::memory_wait.
    std::chrono::milliseconds memory_wait{1000};
    /// Memory limit of the process.
    std::size_t memory_bytes = 256 * 1024 * 1024;
};

/// Maximum number of callers' connections of an instance.
std::size_t caller_connections(hosted_settings const& settings);

/// Maximum number of connections to each port that is not for callers.
std::size_t port_connections(hosted_settings const& settings);

} // namespace kumquatloom::hosting

#endif
