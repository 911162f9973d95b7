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

/// An entry instance of the platform's list.
struct listed_entry
{
    /// Its name.
    core::instance_id id;
    /// Its IP number.
    std::string host;
    /// Its callers' port.
    std::uint16_t port = 0;
    /// Its port of the inner protocol.
    std::uint16_t peer_port = 0;
    /// Its failure domain.
    core::failure_domain domain;
    /// Its region.
    core::region region;
    /// Whether it is leaving.
    bool leaving = false;

    friend bool operator==(listed_entry const&, listed_entry const&) = default;
};

/// An upstream of the platform's list.
struct listed_upstream
{
    /// Its name.
    core::upstream_id id;
    /// The service that it belongs to.
    core::service_name service;
    /// Its IP number.
    std::string host;
    /// Its port.
    std::uint16_t port = 0;
    /// Its failure domain.
    core::failure_domain domain;
    /// Its region.
    core::region region;
    /// Whether it is leaving.
    bool leaving = false;

    friend bool operator==(listed_upstream const&,
                           listed_upstream const&) = default;
};

/// The platform's list of live and leaving instances. It lags behind reality.
struct instance_list
{
    /// Entry instances.
    std::vector<listed_entry> entries;
    /// Upstreams.
    std::vector<listed_upstream> upstreams;

    friend bool operator==(instance_list const&,
                           instance_list const&) = default;
};

/// Parses the list; nothing if any part of it is malformed, so that a damaged
/// list does not look like one from which instances have gone.
std::optional<instance_list> parse_instance_list(std::string_view text);

} // namespace kumquatloom::log_service

#endif
