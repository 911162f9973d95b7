#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/local_response.hpp>
#include <kumquatloom/entry/page_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

/// Time for one request, and for the next one on a kept connection. Those who
/// ask do so every few seconds.
constexpr std::chrono::seconds request_timeout{10};
/// Largest request header; the pages have short targets.
constexpr std::uint32_t header_limit = 8 * 1024;
/// Pause after a failed accept, which mostly means that descriptors ran out.
constexpr std::chrono::milliseconds accept_pause{10};

} // namespace

page_server::page_server(asio::io_context& context,
                         tcp::endpoint const& address,
                         handler answer)
    : context_(context)
    , answer_(std::move(answer))
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
    beast::flat_buffer buffer;
    bool more = true;
    while (more)
    {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(header_limit);
        stream.expires_after(request_timeout);
        auto const [read_error, read_size] =
            co_await http::async_read(stream, buffer, parser, as_result);
        if (read_error)
            co_return;
        auto const& request = parser.get();
        auto response =
            request.method() == http::verb::get
                ? answer_(as_view(request.target()))
                : json_response(http::status::method_not_allowed, "{}");
        response.keep_alive(request.keep_alive());
        more = request.keep_alive();
        auto const [write_error, written] =
            co_await http::async_write(stream, response, as_result);
        more = more && !write_error;
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace kumquatloom::entry
