#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_ENDPOINT_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_ENDPOINT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace kumquatloom::routing
{

/// Identity, address and capacity of an upstream as the platform lists it.
struct upstream_endpoint
{
    core::upstream_id id;
    /// The service that it belongs to.
    core::service_name service;
    std::string host;
    std::uint16_t port = 0;
    /// Failure domain and region that it runs in.
    core::failure_domain domain;
    core::region region;
    /// Number of requests that it serves concurrently.
    unsigned slots = 1;
    /// Distinguishes processes that reuse an id and an address; 0 if the list
    /// does not state it.
    core::incarnation incarnation = 0;

    friend bool operator==(upstream_endpoint const&,
                           upstream_endpoint const&) = default;
};

/// Entry of the platform's list of upstreams.
struct listed_upstream
{
    upstream_endpoint endpoint;
    /// Whether the upstream is leaving.
    bool leaving = false;
    /// Remaining duration of its warm-up, if the list states it.
    std::optional<core::duration> warm_up{};
};

} // namespace kumquatloom::routing

#endif
