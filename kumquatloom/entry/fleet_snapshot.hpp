#ifndef KUMQUATLOOM_ENTRY_FLEET_SNAPSHOT_HPP
#define KUMQUATLOOM_ENTRY_FLEET_SNAPSHOT_HPP

#include <kumquatloom/membership/known_instance.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace kumquatloom::entry
{

/// What the membership knows about the fleet's instances at one time.
struct fleet_view : boost::intrusive_ref_counter<fleet_view>
{
    /// All known instances, this one included.
    std::vector<membership::known_instance> instances;
};

} // namespace kumquatloom::entry

#endif
