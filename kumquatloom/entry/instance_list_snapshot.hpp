#ifndef KUMQUATLOOM_ENTRY_INSTANCE_LIST_SNAPSHOT_HPP
#define KUMQUATLOOM_ENTRY_INSTANCE_LIST_SNAPSHOT_HPP

#include <kumquatloom/log_service/instance_list.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace kumquatloom::entry
{

/// An immutable snapshot of the platform's instance list, shared by all
/// threads.
struct instance_list_snapshot
    : boost::intrusive_ref_counter<instance_list_snapshot>
{
    explicit instance_list_snapshot(log_service::instance_list instances)
        : list(std::move(instances))
    {
    }

    log_service::instance_list list;
};

} // namespace kumquatloom::entry

#endif
