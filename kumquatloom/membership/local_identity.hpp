#ifndef KUMQUATLOOM_MEMBERSHIP_LOCAL_IDENTITY_HPP
#define KUMQUATLOOM_MEMBERSHIP_LOCAL_IDENTITY_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <string>

namespace kumquatloom::membership
{

/// Who and where this instance is.
struct local_identity
{
    /// This instance.
    core::instance_id id;
    /// Its process start.
    core::incarnation incarnation = 0;
    /// Its failure domain.
    core::failure_domain failure_domain;
    /// Its region.
    core::region region;
    /// Its callers' address as "ip:port".
    std::string callers_address;
    /// Its peers' address.
    settings::endpoint peer_address;
};

} // namespace kumquatloom::membership

#endif
