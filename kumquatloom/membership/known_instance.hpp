#ifndef KUMQUATLOOM_MEMBERSHIP_KNOWN_INSTANCE_HPP
#define KUMQUATLOOM_MEMBERSHIP_KNOWN_INSTANCE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::membership
{

/// What is known about an entry instance anywhere in the fleet.
struct known_instance
{
    /// The instance.
    core::instance_id id;
    /// Its callers' address as "ip:port".
    std::string callers_address;
    /// Its failure domain.
    core::failure_domain failure_domain;
    /// Its region.
    core::region region;
    /// The latest time at which it is known to have lived; for other regions
    /// by added ages.
    core::time_point last_heard;
    /// Whether it serves callers.
    bool ready = false;
    /// Whether its freshness is younger than the freshness lease.
    bool fresh = false;
    /// Whether it is leaving.
    bool leaving = false;
};

} // namespace kumquatloom::membership

#endif
