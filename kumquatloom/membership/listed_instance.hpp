#ifndef KUMQUATLOOM_MEMBERSHIP_LISTED_INSTANCE_HPP
#define KUMQUATLOOM_MEMBERSHIP_LISTED_INSTANCE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <string>

namespace kumquatloom::membership
{

/// An entry instance in the platform's list.
struct listed_instance
{
    core::instance_id id;
    core::failure_domain failure_domain;
    core::region region;
    /// Address for callers as "ip:port".
    std::string callers_address;
    /// Address for messages of other instances.
    settings::endpoint peer_address;
    /// Whether the list marks it as leaving.
    bool leaving = false;
};

} // namespace kumquatloom::membership

#endif
