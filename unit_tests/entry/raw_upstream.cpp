#include <kumquatloom/core/digest.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <unit_tests/entry/raw_upstream.hpp>
#include <utility>

namespace kumquatloom::unit_tests
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Minimum size of one write of endless bytes.
constexpr std::size_t endless_write_bytes = 64 * 1024;

} // namespace

std::string complete_response(received_request const& request,
                              std::string_view body,
                              std::string_view more_headers)
{
    return forged_response(std::string(request["Kumquatloom-Request-Id"]),
                           body.size(),
                           body,
                           more_headers);
}

std::string forged_response(std::string_view id,
                            std::size_t length,
                            std::string_view body,
                            std::string_view more_headers)
{
    return "HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " + std::string(id) +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n" +
           std::string(more_headers) + "\r\n" + std::string(body);
}

raw_upstream::raw_upstream(script on_request)
    : on_request_(std::move(on_request))
    , acceptor_(context_, {asio::ip::address_v4::loopback(), 0})
    , port_(acceptor_.local_endpoint().port())
{
    asio::co_spawn(context_, accept(), asio::detached);
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

raw_upstream::~raw_upstream()
{
    context_.stop();
    thread_.join();
}

asio::awaitable<void> raw_upstream::accept()
{
    while (true)
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        ++connections_;
        asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> raw_upstream::serve(asio::ip::tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        auto const [read_error, read_size] =
            co_await http::async_read(socket, buffer, parser, as_result);
        if (read_error)
            co_return;
        ++executions_;
        auto const reply = on_request_(parser.get());
        if (reply.hold)
        {
            bool const open = co_await hold(socket);
            if (!open)
                co_return;
        }
        auto const [write_error, write_size] = co_await asio::async_write(
            socket, asio::buffer(reply.bytes), as_result);
        if (!reply.endless.empty())
        {
            co_await write_endlessly(socket, reply.endless);
            co_return;
        }
        if (reply.reset)
        {
            socket.set_option(asio::socket_base::linger(true, 0));
            // The destructor would reset the linger option, and the connection
            // would end with a FIN.
            socket.close();
        }
        if (write_error || reply.close || reply.reset)
            co_return;
    }
}

asio::awaitable<void>
raw_upstream::write_endlessly(asio::ip::tcp::socket& socket,
                              std::string const& unit)
{
    std::string block;
    while (block.size() < endless_write_bytes)
        block += unit;
    boost::system::error_code failure;
    while (!failure)
    {
        auto const [error, size] =
            co_await asio::async_write(socket, asio::buffer(block), as_result);
        failure = error;
        endless_bytes_ += size;
    }
}

asio::awaitable<bool> raw_upstream::hold(asio::ip::tcp::socket& socket)
{
    ++held_;
    socket.non_blocking(true);
    asio::steady_timer timer(context_);
    boost::system::error_code error = asio::error::would_block;
    while (!released_ && error == asio::error::would_block)
    {
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(as_result);
        char byte = 0;
        socket.receive(
            asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
    }
    --held_;
    bool const open = !error || error == asio::error::would_block;
    if (!open)
        ++cancelled_;
    co_return open;
}

} // namespace kumquatloom::unit_tests
