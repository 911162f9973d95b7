#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <array>
#include <soak/loopback_proxy.hpp>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Interval at which a stalled connection checks whether the fault has ended.
constexpr std::chrono::milliseconds stall_poll_interval{10};
constexpr std::size_t chunk_bytes = 16 * 1024;

tcp::endpoint to_tcp(settings::endpoint const& address)
{
    return {asio::ip::make_address(address.host), address.port};
}

void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/// The two sockets of a relayed connection.
class loopback_proxy::connection
    : public boost::intrusive_ref_counter<connection,
                                          boost::thread_unsafe_counter>
{
public:
    connection(tcp::socket accepted, asio::any_io_executor const& executor)
        : client(std::move(accepted))
        , server(executor)
    {
    }

    /// The connections to the client and to the server.
    tcp::socket client;
    tcp::socket server;
    /// Whether the relay has stopped forwarding bytes.
    bool is_stalled = false;
};

loopback_proxy::loopback_proxy(asio::io_context& context,
                               settings::endpoint const& listen,
                               settings::endpoint target)
    : acceptor_(context, to_tcp(listen))
    , address_{listen.host, acceptor_.local_endpoint().port()}
    , target_(std::move(target))
{
    asio::co_spawn(context, accept_connections(), asio::detached);
}

loopback_proxy::~loopback_proxy() = default;

void loopback_proxy::apply_fault(link_fault const& fault)
{
    bool const faulty = fault.delay.count() != 0 || fault.stalls_to_server ||
                        fault.stalls_to_client || fault.refuses;
    if (faulty && !is_faulty_)
        disturbance_.begin();
    else if (!faulty && is_faulty_)
        disturbance_.end();
    is_faulty_ = faulty;
    fault_ = fault;
}

void loopback_proxy::reset_connections()
{
    disturbance_.touch();
    for (auto const& item : connections_)
    {
        reset(item->client);
        reset(item->server);
    }
}

void loopback_proxy::stall_connections()
{
    disturbance_.touch();
    for (auto const& item : connections_)
        item->is_stalled = true;
}

void loopback_proxy::retarget(settings::endpoint target)
{
    target_ = std::move(target);
}

asio::awaitable<void> loopback_proxy::accept_connections()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (error)
            continue;
        if (fault_.refuses)
        {
            reset(socket);
            continue;
        }
        connection_pointer const item(
            new connection(std::move(socket), acceptor_.get_executor()));
        asio::co_spawn(acceptor_.get_executor(), relay(item), asio::detached);
    }
}

asio::awaitable<void> loopback_proxy::relay(connection_pointer item)
{
    auto const [error] =
        co_await item->server.async_connect(to_tcp(target_), as_result);
    if (error)
    {
        reset(item->client);
        co_return;
    }
    error_code ignored;
    item->client.set_option(tcp::no_delay(true), ignored);
    item->server.set_option(tcp::no_delay(true), ignored);
    connections_.push_front(item);
    auto const position = connections_.begin();
    auto const executor = acceptor_.get_executor();
    asio::co_spawn(
        executor,
        forward(
            item, item->client, item->server, &link_fault::stalls_to_server),
        asio::detached);
    co_await forward(
        item, item->server, item->client, &link_fault::stalls_to_client);
    connections_.erase(position);
}

asio::awaitable<void> loopback_proxy::forward(connection_pointer item,
                                              tcp::socket& from,
                                              tcp::socket& to,
                                              bool link_fault::*stalls)
{
    asio::steady_timer timer(acceptor_.get_executor());
    std::array<char, chunk_bytes> chunk;
    while (true)
    {
        auto const [error, size] =
            co_await from.async_read_some(asio::buffer(chunk), as_result);
        if (fault_.delay.count() != 0)
        {
            timer.expires_after(fault_.delay);
            co_await timer.async_wait(as_result);
        }
        while (item->is_stalled || fault_.*stalls)
        {
            // A stalled connection ends when one of its sockets is closed.
            if (!to.is_open() || !from.is_open())
                co_return;
            timer.expires_after(stall_poll_interval);
            co_await timer.async_wait(as_result);
        }
        error_code ignored;
        if (error == asio::error::eof)
        {
            to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (error)
        {
            reset(to);
            co_return;
        }
        auto const [failed, written] = co_await asio::async_write(
            to, asio::buffer(chunk.data(), size), as_result);
        if (failed)
        {
            reset(from);
            co_return;
        }
    }
}

} // namespace kumquatloom::soak
