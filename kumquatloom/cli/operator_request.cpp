#include <kumquatloom/cli/operator_request.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

/// Time for the whole request.
constexpr std::chrono::seconds answer_timeout{10};
/// Largest answer: a document.
constexpr std::size_t answer_limit_bytes = 64 * 1024 * 1024;

/// One request on a connection of its own. Its operations are asynchronous,
/// since only these are bounded by the stream's timer.
class exchange
{
public:
    exchange(asio::ip::tcp::endpoint peer,
             http::request<http::string_body> request)
        : peer_(std::move(peer))
        , request_(std::move(request))
        , stream_(context_)
    {
        parser_.body_limit(answer_limit_bytes);
    }

    /// Runs it to its end.
    boost::system::error_code run()
    {
        stream_.expires_after(answer_timeout);
        stream_.async_connect(peer_,
                              [this](boost::system::error_code error)
                              {
                                  connected(error);
                              });
        context_.run();
        return error_;
    }

    /// The answer, after run() without an error.
    http::response<http::string_body> const& answer() const
    {
        return parser_.get();
    }

private:
    void connected(boost::system::error_code error)
    {
        error_ = error;
        if (error)
            return;
        http::async_write(stream_,
                          request_,
                          [this](boost::system::error_code failure, std::size_t)
                          {
                              written(failure);
                          });
    }

    void written(boost::system::error_code error)
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

    /// Where the instance listens.
    asio::ip::tcp::endpoint peer_;
    /// What is sent.
    http::request<http::string_body> request_;
    /// Runs the operations.
    asio::io_context context_;
    /// The connection.
    beast::tcp_stream stream_;
    /// Bytes that were read.
    beast::flat_buffer buffer_;
    /// Reads the answer.
    http::response_parser<http::string_body> parser_;
    /// The result of the last operation.
    boost::system::error_code error_;
};

} // namespace

std::optional<operator_answer> ask_instance(std::string const& address,
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
    exchange running({asio::ip::make_address(endpoint->host), endpoint->port},
                     std::move(request));
    if (auto const error = running.run())
    {
        std::cerr << address << ": " << error.message() << '\n';
        return std::nullopt;
    }
    auto const& answer = running.answer();
    return operator_answer{answer.result_int(), answer.body()};
}

} // namespace kumquatloom::cli
