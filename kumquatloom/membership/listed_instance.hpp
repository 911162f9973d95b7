#ifndef KUMQUATLOOM_MEMBERSHIP_LISTED_INSTANCE_HPP
#define KUMQUATLOOM_MEMBERSHIP_LISTED_INSTANCE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <string>

namespace kumquatloom::membership
{

/// One entry instance as the platform's list shows it.
struct listed_instance
{
    /// The instance.
    core::instance_id id;
    /// Its failure domain.
    core::failure_domain failure_domain;
    /// Its region.
    core::region region;
    /// Its callers' address as "ip:port".
    std::string callers_address;
    /// Its peers' address.
    settings::endpoint peer_address;
    /// Whether the list says that it is leaving.
    bool leaving = false;
};

} // namespace kumquatloom::membership

#endif
