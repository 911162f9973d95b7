#ifndef KUMQUATLOOM_ENTRY_INSTANCE_LIST_SNAPSHOT_HPP
#define KUMQUATLOOM_ENTRY_INSTANCE_LIST_SNAPSHOT_HPP

#include <kumquatloom/log_service/instance_list.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace kumquatloom::entry
{

/// A reading of the platform's list, as all threads see it.
struct published_list : boost::intrusive_ref_counter<published_list>
{
    /// Takes over a reading.
    explicit published_list(log_service::instance_list given)
        : list(std::move(given))
    {
    }

    /// The reading.
    log_service::instance_list list;
};

} // namespace kumquatloom::entry

#endif
