#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <stand_ins/http_caller.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace

http_caller::http_caller(asio::any_io_executor executor,
                         settings::endpoint server)
    : server_(std::move(server))
    , stream_(std::move(executor))
{
}

asio::awaitable<std::optional<http_response>>
http_caller::call(http_request request, std::chrono::milliseconds timeout)
{
    connect_failed_ = false;
    if (!connected_ && !co_await connect(timeout))
    {
        connect_failed_ = true;
        co_return std::nullopt;
    }
    stream_.expires_after(timeout);
    connected_ = false;
    auto const [write_error, written] =
        co_await http::async_write(stream_, request, as_result);
    if (write_error)
        co_return std::nullopt;
    http_response response;
    auto const [read_error, size] =
        co_await http::async_read(stream_, buffer_, response, as_result);
    if (read_error)
        co_return std::nullopt;
    connected_ = response.keep_alive();
    co_return response;
}

asio::awaitable<bool> http_caller::connect(std::chrono::milliseconds timeout)
{
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
    buffer_.clear();
    stream_.expires_after(timeout);
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(server_.host),
                                           server_.port);
    auto const [error] = co_await stream_.async_connect(endpoint, as_result);
    if (!error)
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    connected_ = !error;
    co_return connected_;
}

http_request
make_request(http::verb method, std::string_view target, std::string body)
{
    http_request request(
        method, boost::beast::string_view(target.data(), target.size()), 11);
    request.set(http::field::host, "stand-in");
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

asio::awaitable<std::optional<http_response>>
call_once(settings::endpoint const& server,
          http_request request,
          std::chrono::milliseconds timeout)
{
    auto const executor = co_await asio::this_coro::executor;
    http_caller caller(executor, server);
    co_return co_await caller.call(std::move(request), timeout);
}

} // namespace kumquatloom::stand_ins
