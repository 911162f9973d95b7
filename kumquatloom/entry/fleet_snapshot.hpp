#ifndef KUMQUATLOOM_ENTRY_FLEET_SNAPSHOT_HPP
#define KUMQUATLOOM_ENTRY_FLEET_SNAPSHOT_HPP

#include <kumquatloom/membership/known_instance.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace kumquatloom::entry
{

/// A snapshot of the fleet's membership.
struct fleet_snapshot : boost::intrusive_ref_counter<fleet_snapshot>
{
    /// All known instances, including this one.
    std::vector<membership::known_instance> instances;
};

} // namespace kumquatloom::entry

#endif
