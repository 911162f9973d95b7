#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <unit_tests/log_service/test_server.hpp>

namespace kumquatloom::log_service::testing
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> serve(tcp::socket socket,
                            test_server::handler const& on_request)
{
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> received;
    auto [read_error, size] =
        co_await http::async_read(socket, buffer, received, no_throw);
    if (read_error)
        co_return;
    test_request request;
    request.is_post = received.method() == http::verb::post;
    request.target = std::string(received.target());
    request.body = received.body();
    auto const reply = on_request(request);
    if (reply.drop)
        co_return;
    if (!reply.raw.empty())
    {
        co_await asio::async_write(socket, asio::buffer(reply.raw), no_throw);
        co_return;
    }
    http::response<http::string_body> response(http::status(reply.status), 11);
    response.body() = reply.body;
    response.prepare_payload();
    co_await http::async_write(socket, response, no_throw);
}

asio::awaitable<void> accept_all(tcp::acceptor& acceptor,
                                 test_server::handler const& on_request)
{
    for (;;)
    {
        auto [error, socket] = co_await acceptor.async_accept(no_throw);
        if (error)
            co_return;
        asio::co_spawn(acceptor.get_executor(),
                       serve(std::move(socket), on_request),
                       asio::detached);
    }
}

} // namespace

std::uint64_t test_request::number(std::string const& parameter) const
{
    auto const position = target.find(parameter + '=');
    if (position == std::string::npos)
        return 0;
    return std::stoull(target.substr(position + parameter.size() + 1));
}

test_server::test_server(handler on_request)
    : on_request_(std::move(on_request))
    , acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(
        context_, accept_all(acceptor_, on_request_), asio::detached);
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

test_server::~test_server()
{
    context_.stop();
    thread_.join();
}

settings::endpoint test_server::address() const
{
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

} // namespace kumquatloom::log_service::testing
