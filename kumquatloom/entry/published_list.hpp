#ifndef KUMQUATLOOM_ENTRY_PUBLISHED_LIST_HPP
#define KUMQUATLOOM_ENTRY_PUBLISHED_LIST_HPP

#include <kumquatloom/log_service/instance_list.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace kumquatloom::entry
{

/// An immutable snapshot of the platform's instance list, shared by all
/// threads.
struct published_list : boost::intrusive_ref_counter<published_list>
{
    explicit published_list(log_service::instance_list given)
        : list(std::move(given))
    {
    }

    log_service::instance_list list;
};

} // namespace kumquatloom::entry

#endif
