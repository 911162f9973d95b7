#ifndef KUMQUATLOOM_MEMBERSHIP_LOCAL_IDENTITY_HPP
#define KUMQUATLOOM_MEMBERSHIP_LOCAL_IDENTITY_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <string>

namespace kumquatloom::membership
{

/// Identity and addresses of this instance.
struct local_identity
{
    core::instance_id id;
    /// Identifies the process start.
    core::incarnation incarnation = 0;
    core::failure_domain failure_domain;
    core::region region;
    /// Address for callers as "ip:port".
    std::string callers_address;
    /// Address for messages of other instances.
    settings::endpoint peer_address;
};

} // namespace kumquatloom::membership

#endif
