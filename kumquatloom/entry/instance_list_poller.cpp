#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/instance_list_poller.hpp>
#include <kumquatloom/entry/instance_state.hpp>

#include <utility>

namespace kumquatloom::entry
{

list_poller::list_poller(asio::io_context& context,
                         instance_state& state,
                         std::function<void()> published)
    : state_(state)
    , published_(std::move(published))
    , client_(state.settings.platform.instances)
    , timer_(context)
{
}

asio::awaitable<void> list_poller::run()
{
    while (!stopped_)
    {
        auto list = co_await client_.read();
        if (stopped_)
            break;
        report(list.has_value());
        if (list)
            publish(std::move(list.value()));
        timer_.expires_after(state_.settings.platform.poll_interval);
        co_await timer_.async_wait(as_result);
    }
}

void list_poller::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void list_poller::publish(log_service::instance_list list)
{
    state_.instances.publish(boost::intrusive_ptr<published_list const>(
        new published_list(std::move(list))));
    published_();
}

void list_poller::report(bool reachable)
{
    state_.events.increment(reachable ? entry_event::list_read
                                      : entry_event::list_failed);
    if (reachable_ == reachable)
        return;
    reachable_ = reachable;
    if (reachable)
        core::log_info("instance_list_read");
    else
        core::log_warning("instance_list_unavailable");
}

} // namespace kumquatloom::entry
