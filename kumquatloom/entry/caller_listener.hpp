#ifndef KUMQUATLOOM_ENTRY_CALLER_LISTENER_HPP
#define KUMQUATLOOM_ENTRY_CALLER_LISTENER_HPP

#include <kumquatloom/entry/caller_connections.hpp>
#include <kumquatloom/entry/caller_session.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/entry/message_memory.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace kumquatloom::entry
{

struct instance_state;
class proxy_handler;

/// Accepts the connections of callers for one worker. The listeners of all
/// workers share one port through SO_REUSEPORT, so that the kernel distributes
/// the connections.
class caller_listener
{
public:
    /// Binds to the address and listens. Throws if either fails.
    caller_listener(asio::io_context& context,
                    instance_state& state,
                    proxy_handler& handler,
                    tcp::endpoint const& address);

    /// Accepts connections until close().
    asio::awaitable<void> run();

    /// Accepts the connections that wait in the backlog, then closes the
    /// listening socket.
    void close();

    /// Closes idle connections now and the others after their current response.
    void finish_sessions();

    /// Closes every connection immediately.
    void abort_sessions();

    /// Ends all requests in progress without waiting for their upstreams.
    void stop_requests();

    /// The local address that the socket is bound to.
    tcp::endpoint address() const;

private:
    void serve(tcp::socket socket);
    void log_scarcity();

    /// Executes the connections' coroutines.
    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Handles the requests.
    proxy_handler& handler_;
    tcp::acceptor acceptor_;
    /// Delays the next accept after a failed one.
    asio::steady_timer pause_;
    /// The open connections.
    caller_connections connections_;
    /// Memory of the worker's messages.
    message_memory memory_;
    /// Whether the connections were scarce at the last accepted one.
    bool scarce_ = false;
};

} // namespace kumquatloom::entry

#endif
