#ifndef KUMQUATLOOM_ENTRY_LIST_POLLER_HPP
#define KUMQUATLOOM_ENTRY_LIST_POLLER_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

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
    asio::awaitable<bool> poll();
    asio::awaitable<std::optional<std::string>> fetch();
    void report(bool reachable);

    /// Called after each successful reading.
    std::function<void()> published_;
    /// What all threads share.
    instance_state& state_;
    /// The connection to the platform.
    beast::tcp_stream stream_;
    /// Wakes the next poll.
    asio::steady_timer timer_;
    /// Whether stop() was called.
    bool stopped_ = false;
    /// Whether the last poll succeeded; nothing before the first.
    std::optional<bool> reachable_;
};

} // namespace kumquatloom::entry

#endif
