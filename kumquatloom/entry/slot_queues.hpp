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

/// The queues of one worker, one for each service that it serves.
class slot_queues
{
public:
    /// Starts without a queue.
    slot_queues(asio::io_context& context, instance_state& state);

    /// The queue of a service; null if the document has no such service.
    boost::intrusive_ptr<slot_queue> of(core::service_name const& service);

private:
    /// Runs the queues.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Queues by service. A service that was dropped and added again has
    /// another state and gets another queue.
    std::unordered_map<core::service_name, boost::intrusive_ptr<slot_queue>>
        queues_;
};

} // namespace kumquatloom::entry

#endif
