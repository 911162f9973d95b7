#include <kumquatloom/cli/operator_request.hpp>
#include <kumquatloom/log_service/receive_buffer.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <iostream>
#include <utility>

namespace kumquatloom::cli
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Timeout from connecting to the end of the response.
constexpr std::chrono::seconds request_timeout{10};
/// Maximum size of a response body, sized for a document.
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;

/// Sends one request on a new connection. It uses asynchronous operations,
/// because the stream's timeout does not apply to synchronous ones.
class http_exchange
{
public:
    http_exchange(asio::ip::tcp::endpoint peer,
                  http::request<http::string_body> request)
        : peer_(std::move(peer))
        , request_(std::move(request))
        , stream_(context_)
    {
        parser_.body_limit(max_response_bytes);
    }

    /// Connects, sends the request and reads the response; returns the first
    /// error.
    boost::system::error_code run()
    {
        stream_.expires_after(request_timeout);
        stream_.async_connect(peer_,
                              [this](boost::system::error_code error)
                              {
                                  on_connected(error);
                              });
        context_.run();
        return error_;
    }

    /// Returns the response. Requires that run() has returned no error.
    http::response<http::string_body> const& response() const
    {
        return parser_.get();
    }

private:
    void on_connected(boost::system::error_code error)
    {
        error_ = error;
        if (error)
            return;
        http::async_write(stream_,
                          request_,
                          [this](boost::system::error_code failure, std::size_t)
                          {
                              on_written(failure);
                          });
    }

    void on_written(boost::system::error_code error)
    {
        error_ = error;
        if (error)
            return;
        http::async_read(stream_,
                         buffer_,
                         parser_,
                         [this](boost::system::error_code failure, std::size_t)
                         {
                             error_ = failure;
                         });
    }

    /// Endpoint of the instance.
    asio::ip::tcp::endpoint peer_;
    /// Request to send.
    http::request<http::string_body> request_;
    /// Runs the operations.
    asio::io_context context_;
    /// The connection.
    beast::tcp_stream stream_;
    log_service::receive_buffer buffer_;
    /// Parser of the response.
    http::response_parser<http::string_body> parser_;
    /// Result of the last operation.
    boost::system::error_code error_;
};

} // namespace

std::optional<operator_response>
send_operator_request(std::string const& address,
                      std::string_view method,
                      std::string_view path,
                      std::string body)
{
    auto const endpoint = settings::parse_endpoint(address);
    if (!endpoint)
    {
        std::cerr << address << ": is not an address of the form ip:port\n";
        return std::nullopt;
    }
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(path);
    request.set(http::field::host, address);
    request.keep_alive(false);
    request.body() = std::move(body);
    request.prepare_payload();
    http_exchange exchange(
        {asio::ip::make_address(endpoint->host), endpoint->port},
        std::move(request));
    if (auto const error = exchange.run())
    {
        std::cerr << address << ": " << error.message() << '\n';
        return std::nullopt;
    }
    auto const& response = exchange.response();
    return operator_response{response.result_int(), response.body()};
}

} // namespace kumquatloom::cli
