#ifndef KUMQUATLOOM_ENTRY_SLOT_QUEUES_HPP
#define KUMQUATLOOM_ENTRY_SLOT_QUEUES_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/entry/slot_queue.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <unordered_map>

namespace kumquatloom::entry
{

struct instance_state;

/// The slot queues of one worker, one for each service in use.
class slot_queues
{
public:
    slot_queues(asio::io_context& context, instance_state& state);

    /// The queue of a service, created on first use; null if the active
    /// document has no such service.
    boost::intrusive_ptr<slot_queue>
    queue_for(core::service_name const& service);

    /// Removes the queues of retired services that no request uses.
    void sweep();

private:
    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Queues by service.
    std::unordered_map<core::service_name, boost::intrusive_ptr<slot_queue>>
        queues_;
};

} // namespace kumquatloom::entry

#endif
