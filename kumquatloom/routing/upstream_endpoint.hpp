#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_ENDPOINT_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_ENDPOINT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace kumquatloom::routing
{

/// Where an upstream is, as the platform lists it.
struct upstream_endpoint
{
    /// Its name.
    core::upstream_id id;
    /// The service that it belongs to.
    core::service_name service;
    /// Its IP address.
    std::string host;
    /// Its port.
    std::uint16_t port = 0;
    /// Where it runs.
    core::failure_domain domain;
    core::region region;
    /// Requests that it works on at a time.
    unsigned slots = 1;
    /// Distinguishes the starts of an upstream that keeps its name and
    /// address; 0 if the list does not.
    core::incarnation incarnation = 0;

    friend bool operator==(upstream_endpoint const&,
                           upstream_endpoint const&) = default;
};

/// An upstream of the platform's list.
struct listed_upstream
{
    /// Where it is.
    upstream_endpoint endpoint;
    /// Whether the list says that it is leaving.
    bool leaving = false;
    /// How much longer it is cold, if the list says so.
    std::optional<core::duration> warm_up{};
};

} // namespace kumquatloom::routing

#endif
