#ifndef KUMQUATLOOM_ENTRY_PUBLISHED_LIST_HPP
#define KUMQUATLOOM_ENTRY_PUBLISHED_LIST_HPP

#include <kumquatloom/platform/instance_list.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

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

} // namespace kumquatloom::entry

#endif
