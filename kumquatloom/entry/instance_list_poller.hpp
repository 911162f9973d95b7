#ifndef KUMQUATLOOM_ENTRY_INSTANCE_LIST_POLLER_HPP
#define KUMQUATLOOM_ENTRY_INSTANCE_LIST_POLLER_HPP

#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/log_service/instance_list_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace kumquatloom::entry
{

struct instance_state;

/// Periodically reads the platform's instance list and publishes it. After a
/// failed read the last list stays in use.
class instance_list_poller
{
public:
    /// `on_published` is called after each successful read.
    instance_list_poller(asio::io_context& context,
                         instance_state& state,
                         std::function<void()> on_published);

    /// Polls until stop().
    asio::awaitable<void> run();

    /// Ends run().
    void stop();

private:
    void publish(log_service::instance_list list);
    void report(bool reachable);

    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Called after each successful read.
    std::function<void()> on_published_;
    log_service::instance_list_client client_;
    /// Schedules the next read.
    asio::steady_timer timer_;
    bool stopped_ = false;
    /// Whether the last read succeeded; empty before the first.
    std::optional<bool> reachable_;
};

} // namespace kumquatloom::entry

#endif
