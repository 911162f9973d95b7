#ifndef KUMQUATLOOM_MEMBERSHIP_KNOWN_INSTANCE_HPP
#define KUMQUATLOOM_MEMBERSHIP_KNOWN_INSTANCE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::membership
{

/// State of an entry instance anywhere in the fleet, as known to this instance.
struct known_instance
{
    core::instance_id id;
    /// Address for callers as "ip:port".
    std::string callers_address;
    core::failure_domain failure_domain;
    core::region region;
    /// Latest time at which the instance is known to have been alive. For other
    /// cells and regions it is computed from the ages in digests.
    core::time_point last_heard;
    /// Whether it serves callers.
    bool ready = false;
    /// Whether its state's freshness is younger than the freshness lease.
    bool fresh = false;
    bool leaving = false;
};

} // namespace kumquatloom::membership

#endif
