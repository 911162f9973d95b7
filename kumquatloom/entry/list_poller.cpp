#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/list_poller.hpp>

#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// The other entry instances of a reading.
boost::intrusive_ptr<known_instances>
others_of(platform::instance_list const& list, core::instance_id const& self)
{
    boost::intrusive_ptr<known_instances> others(new known_instances);
    others->listed_only = true;
    for (auto const& entry : list.entries)
    {
        if (entry.id == self)
            continue;
        membership::known_instance known;
        known.id = entry.id;
        known.callers_address = settings::to_string({entry.host, entry.port});
        known.failure_domain = entry.domain;
        known.region = entry.region;
        known.ready = true;
        known.fresh = true;
        known.leaving = entry.leaving;
        others->instances.push_back(std::move(known));
    }
    return others;
}

} // namespace

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
        timer_.expires_after(state_.settings.platform.poll);
        co_await timer_.async_wait(as_result);
    }
}

void list_poller::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void list_poller::publish(platform::instance_list list)
{
    state_.others.publish(others_of(list, state_.settings.instance.id));
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
