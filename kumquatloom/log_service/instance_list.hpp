#ifndef KUMQUATLOOM_LOG_SERVICE_INSTANCE_LIST_HPP
#define KUMQUATLOOM_LOG_SERVICE_INSTANCE_LIST_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::log_service
{

/// An entry instance in the platform's instance list.
struct listed_entry
{
    /// Id of the instance.
    core::instance_id id;
    /// IP address.
    std::string host;
    /// Port for callers.
    std::uint16_t port = 0;
    /// Port of the peer protocol.
    std::uint16_t peer_port = 0;
    /// Failure domain.
    core::failure_domain domain;
    /// Region.
    core::region region;
    /// Whether the instance is leaving.
    bool leaving = false;

    friend bool operator==(listed_entry const&, listed_entry const&) = default;
};

/// An upstream in the platform's instance list.
struct listed_upstream
{
    /// Id of the upstream.
    core::upstream_id id;
    /// Service that the upstream belongs to.
    core::service_name service;
    /// IP address.
    std::string host;
    /// Port.
    std::uint16_t port = 0;
    /// Failure domain.
    core::failure_domain domain;
    /// Region.
    core::region region;
    /// Whether the upstream is leaving.
    bool leaving = false;

    friend bool operator==(listed_upstream const&,
                           listed_upstream const&) = default;
};

/// The platform's list of live and leaving instances, which may be out of date.
struct instance_list
{
    /// Entry instances.
    std::vector<listed_entry> entries;
    /// Upstreams.
    std::vector<listed_upstream> upstreams;

    friend bool operator==(instance_list const&,
                           instance_list const&) = default;
};

/// Parses an instance list. Returns nothing if any part is malformed, so that a
/// damaged list is not mistaken for one from which instances have been removed.
std::optional<instance_list> parse_instance_list(std::string_view text);

} // namespace kumquatloom::log_service

#endif
