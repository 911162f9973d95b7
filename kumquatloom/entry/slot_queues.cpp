#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/slot_queues.hpp>

namespace kumquatloom::entry
{

slot_queues::slot_queues(asio::io_context& context, instance_state& state)
    : context_(context)
    , state_(state)
{
}

boost::intrusive_ptr<slot_queue>
slot_queues::queue_for(core::service_name const& service)
{
    auto const table = state_.services.read();
    if (!table)
        return nullptr;
    auto const found = table->services.find(service);
    if (found == table->services.end() || found->second->retired)
        return nullptr;
    auto& queue = queues_[service];
    if (!queue || &queue->service() != found->second.get())
        queue = new slot_queue(context_, found->second, state_.levels);
    return queue;
}

void slot_queues::sweep()
{
    std::erase_if(queues_,
                  [](auto const& item)
                  {
                      return item.second->service().retired &&
                             item.second->use_count() == 1;
                  });
}

} // namespace kumquatloom::entry
