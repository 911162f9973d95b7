#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/page_server.hpp>
#include <kumquatloom/log_service/receive_buffer.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Time limit for one request, including the wait for it on a persistent
/// connection. Clients poll every few seconds.
constexpr std::chrono::seconds request_timeout{10};
/// Largest request header; requests for pages have short targets.
constexpr std::uint32_t header_limit = 8 * 1024;
/// Delay after a failed accept, usually caused by file descriptor exhaustion.
constexpr std::chrono::milliseconds accept_pause{10};

} // namespace

page_server::page_server(asio::io_context& context,
                         tcp::endpoint const& address,
                         std::size_t max_connections,
                         std::function<void()> on_displaced,
                         handler page_handler)
    : context_(context)
    , handler_(std::move(page_handler))
    , slots_(max_connections, std::move(on_displaced))
    , acceptor_(context, address)
{
}

asio::awaitable<void> page_server::run()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (!error)
        {
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
        else if (acceptor_.is_open())
        {
            asio::steady_timer pause(context_, accept_pause);
            co_await pause.async_wait(as_result);
        }
    }
}

void page_server::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> page_server::serve(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    connection_slots::slot slot(slots_, stream);
    log_service::receive_buffer buffer;
    bool keep_open = true;
    while (keep_open)
    {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(header_limit);
        stream.expires_after(request_timeout);
        auto const [read_error, read_size] =
            co_await http::async_read(stream, buffer, parser, as_result);
        if (read_error)
            co_return;
        slot.begin_request();
        auto const& request = parser.get();
        auto response =
            request.method() == http::verb::get
                ? handler_(as_view(request.target()))
                : json_response(http::status::method_not_allowed, "{}");
        response.keep_alive(request.keep_alive());
        keep_open = request.keep_alive();
        auto const [write_error, written] =
            co_await http::async_write(stream, response, as_result);
        keep_open = keep_open && !write_error;
        slot.end_request();
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace kumquatloom::entry
