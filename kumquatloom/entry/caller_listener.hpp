#ifndef KUMQUATLOOM_ENTRY_CALLER_LISTENER_HPP
#define KUMQUATLOOM_ENTRY_CALLER_LISTENER_HPP

#include <kumquatloom/entry/caller_session.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

namespace kumquatloom::entry
{

struct instance_state;
class proxy_handler;

/// Accepts the callers of one worker. The listeners of all workers share one
/// port by SO_REUSEPORT, and the kernel spreads the connections.
class caller_listener
{
public:
    /// Binds to the address and listens. Throws if that is not possible.
    caller_listener(asio::io_context& context,
                    instance_state& state,
                    proxy_handler& handler,
                    tcp::endpoint const& address);

    /// Accepts connections until close().
    asio::awaitable<void> run();

    /// Accepts the connections that are already established, and no more.
    void close();

    /// Lets every connection end after the request that it is serving.
    void finish_sessions();

    /// Closes every connection at once.
    void abort_sessions();

    /// The address in use.
    tcp::endpoint address() const;

private:
    void serve(tcp::socket socket);

    /// Runs the connections.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Answers the requests.
    proxy_handler& handler_;
    /// The listening socket.
    tcp::acceptor acceptor_;
    /// Delays the next accept after an error.
    asio::steady_timer pause_;
    /// The open connections.
    boost::intrusive::list<caller_session,
                           boost::intrusive::constant_time_size<false>>
        sessions_;
};

} // namespace kumquatloom::entry

#endif
