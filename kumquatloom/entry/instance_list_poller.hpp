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

/// Reads the platform's instance list again and again and publishes it. A
/// failed reading leaves the last list in force.
class list_poller
{
public:
    /// Polls with the settings of the instance; calls `published` after each
    /// successful reading.
    list_poller(asio::io_context& context,
                instance_state& state,
                std::function<void()> published);

    /// Polls until stop().
    asio::awaitable<void> run();

    /// Ends run().
    void stop();

private:
    void publish(log_service::instance_list list);
    void report(bool reachable);

    /// What all threads share.
    instance_state& state_;
    /// Called after each successful reading.
    std::function<void()> published_;
    /// Reads the list.
    log_service::instance_list_client client_;
    /// Wakes the next poll.
    asio::steady_timer timer_;
    /// Whether stop() was called.
    bool stopped_ = false;
    /// Whether the last poll succeeded; nothing before the first.
    std::optional<bool> reachable_;
};

} // namespace kumquatloom::entry

#endif
