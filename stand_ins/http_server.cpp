#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <stand_ins/http_server.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Sends the response's header and only the first bytes of its body.
asio::awaitable<void> write_cut_response(tcp::socket& socket,
                                         http_response const& response,
                                         std::size_t body_bytes)
{
    std::ostringstream text;
    text << response.base();
    std::string const bytes =
        text.str() + response.body().substr(0, body_bytes);
    co_await asio::async_write(socket, asio::buffer(bytes), as_result);
}

} // namespace

http_server::http_server(asio::io_context& context,
                         settings::endpoint const& listen,
                         handler on_request)
    : acceptor_(context,
                tcp::endpoint(asio::ip::make_address(listen.host), listen.port))
    , on_request_(std::move(on_request))
{
    asio::co_spawn(context, accept_connections(), asio::detached);
}

settings::endpoint http_server::local_endpoint() const
{
    auto const local = acceptor_.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void http_server::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> http_server::accept_connections()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (error)
            continue;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(acceptor_.get_executor(),
                       serve_connection(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> http_server::serve_connection(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    for (;;)
    {
        http_request request;
        auto const [read_error, size] =
            co_await http::async_read(socket, buffer, request, as_result);
        if (read_error)
            co_return;
        http_reply reply = co_await on_request_(request);
        if (reply.drop)
            co_return;
        if (reply.cut_after_bytes)
        {
            co_await write_cut_response(
                socket, reply.response, *reply.cut_after_bytes);
            co_return;
        }
        reply.response.keep_alive(request.keep_alive());
        auto const [write_error, written] =
            co_await http::async_write(socket, reply.response, as_result);
        if (write_error || !request.keep_alive())
            co_return;
    }
}

} // namespace kumquatloom::stand_ins
