#ifndef KUMQUATLOOM_ENTRY_PUBLISHED_LIST_HPP
#define KUMQUATLOOM_ENTRY_PUBLISHED_LIST_HPP

#include <kumquatloom/membership/known_instance.hpp>
#include <kumquatloom/platform/instance_list.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>
#include <vector>

namespace kumquatloom::entry
{

/// A reading of the platform's list, as all threads see it.
struct published_list : boost::intrusive_ref_counter<published_list>
{
    /// Takes over a reading.
    explicit published_list(platform::instance_list given)
        : list(std::move(given))
    {
    }

    /// The reading.
    platform::instance_list list;
};

/// The other entry instances of the fleet, as all threads see them.
struct known_instances : boost::intrusive_ref_counter<known_instances>
{
    /// The instances.
    std::vector<membership::known_instance> instances;
    /// Whether they come from the list alone, which does not tell when each
    /// was heard from.
    bool listed_only = false;
};

} // namespace kumquatloom::entry

#endif
