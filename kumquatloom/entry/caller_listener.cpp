#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/caller_listener.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sys/socket.h>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Memory of a connection without a large message: its socket, its session with
/// the frames of its coroutines, and a receive buffer of the usual size.
constexpr std::size_t connection_bytes = 14 * 1024;
/// Delay after a failed accept, usually caused by file descriptor exhaustion.
constexpr std::chrono::milliseconds accept_pause{10};

} // namespace

caller_listener::caller_listener(asio::io_context& context,
                                 instance_state& state,
                                 proxy_handler& handler,
                                 tcp::endpoint const& address)
    : context_(context)
    , state_(state)
    , handler_(handler)
    , acceptor_(context)
    , pause_(context)
    , connections_(state)
    , memory_(state, connections_)
{
    handler_.connect(memory_);
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(reuse_port(true));
    acceptor_.bind(address);
    acceptor_.listen();
}

asio::awaitable<void> caller_listener::run()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (!error)
        {
            serve(std::move(socket));
        }
        else if (acceptor_.is_open())
        {
            pause_.expires_after(accept_pause);
            co_await pause_.async_wait(as_result);
        }
    }
}

void caller_listener::serve(tcp::socket socket)
{
    state_.caller_connections.fetch_add(1);
    memory_budget::reservation memory(state_.buffered_requests);
    bool const has_room =
        connections_.make_room() &&
        (memory.grow_to(connection_bytes) ||
         (connections_.close_one() && memory.grow_to(connection_bytes)));
    log_scarcity();
    if (!has_room)
    {
        state_.caller_connections.fetch_sub(1);
        state_.events.increment(entry_event::caller_refused);
        return;
    }
    state_.events.increment(entry_event::caller_accepted);
    boost::intrusive_ptr<caller_session> const session(
        new caller_session(std::move(socket), state_, handler_));
    session->join(memory_, std::move(memory));
    connections_.add(*session);
    asio::co_spawn(context_, caller_session::run(session), asio::detached);
}

void caller_listener::log_scarcity()
{
    // Half of the limit ends the state, so that it doesn't change with each
    // connection.
    auto const half = state_.settings.callers.connections / 2;
    bool const scarce = state_.has_scarce_connections() ||
                        (scarce_ && state_.caller_connections > half);
    if (scarce == scarce_)
        return;
    scarce_ = scarce;
    core::log_warning(scarce ? "caller_connections_scarce"
                             : "caller_connections_sufficient",
                      {{"open", state_.caller_connections.load()},
                       {"limit", state_.settings.callers.connections}});
}

void caller_listener::close()
{
    error_code error;
    acceptor_.non_blocking(true, error);
    while (!error)
    {
        tcp::socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error)
            serve(std::move(socket));
    }
    acceptor_.close(error);
    pause_.cancel();
}

void caller_listener::finish_sessions()
{
    connections_.for_each(
        [](caller_session& session)
        {
            session.finish();
        });
}

void caller_listener::abort_sessions()
{
    connections_.for_each(
        [](caller_session& session)
        {
            session.abort();
        });
}

void caller_listener::stop_requests()
{
    connections_.for_each(
        [](caller_session& session)
        {
            session.stop_request();
        });
}

tcp::endpoint caller_listener::address() const
{
    return acceptor_.local_endpoint();
}

} // namespace kumquatloom::entry
