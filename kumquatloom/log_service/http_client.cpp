#include <kumquatloom/log_service/http_client.hpp>
#include <kumquatloom/log_service/read_message.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace kumquatloom::log_service
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::uint32_t max_header_bytes = 16 * 1024;

http_error to_http_error(boost::system::error_code const& error)
{
    if (error == beast::error::timeout)
        return http_error::timed_out;
    if (error == http::error::body_limit ||
        error == http::error::header_limit ||
        error == http::error::buffer_overflow)
        return http_error::too_large;
    if (error == http::error::partial_message ||
        error == http::error::end_of_stream ||
        error.category() != http::make_error_code(http::error{}).category())
        return http_error::cut_short;
    return http_error::malformed;
}

} // namespace

http_client::http_client(settings::endpoint server,
                         http_client_settings settings)
    : server_(std::move(server))
    , settings_(settings)
{
}

asio::awaitable<http_client::response_result>
http_client::fetch(std::string target, std::chrono::milliseconds wait) const
{
    return send(request_method::fetch,
                std::move(target),
                std::string(),
                std::string(),
                settings_.timeout + wait);
}

asio::awaitable<http_client::response_result> http_client::post(
    std::string target, std::string body, std::string content_type) const
{
    return send(request_method::post,
                std::move(target),
                std::move(body),
                std::move(content_type),
                settings_.timeout);
}

asio::awaitable<http_client::response_result>
http_client::send(request_method method,
                  std::string target,
                  std::string body,
                  std::string content_type,
                  std::chrono::milliseconds timeout) const
{
    // The coroutine needs its own copies, because the client may be destroyed
    // while the coroutine is suspended.
    auto const server = server_;
    auto const max_body_bytes = settings_.max_body_bytes;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    // One deadline applies to connecting, sending and receiving.
    stream.expires_after(timeout);
    boost::system::error_code address_error;
    asio::ip::tcp::endpoint const endpoint(
        asio::ip::make_address(server.host, address_error), server.port);
    if (address_error)
        co_return http_error::not_connected;
    auto [connect_error] = co_await stream.async_connect(endpoint, no_throw);
    if (connect_error)
        co_return http_error::not_connected;

    http::request<http::string_body> request(
        method == request_method::post ? http::verb::post : http::verb::get,
        target,
        11);
    request.set(http::field::host, settings::to_string(server));
    request.keep_alive(false);
    if (method == request_method::post)
    {
        request.set(http::field::content_type, content_type);
        request.body() = std::move(body);
    }
    request.prepare_payload();
    auto [write_error, written] =
        co_await http::async_write(stream, request, no_throw);
    if (write_error)
        co_return to_http_error(write_error);

    receive_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_body_bytes);
    auto const accept_all = []
    {
        return true;
    };
    auto const header_error =
        co_await read_header(stream, buffer, parser, accept_all);
    if (header_error)
        co_return to_http_error(header_error);
    auto const body_error =
        co_await read_body(stream, buffer, parser, max_body_bytes, accept_all);
    if (body_error)
        co_return to_http_error(body_error);
    http_response response;
    response.status = parser.get().result_int();
    response.body = std::move(parser.get().body());
    co_return response;
}

} // namespace kumquatloom::log_service
