#ifndef KUMQUATLOOM_STAND_INS_HTTP_CALLER_HPP
#define KUMQUATLOOM_STAND_INS_HTTP_CALLER_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <optional>
#include <stand_ins/http_types.hpp>

namespace kumquatloom::stand_ins
{

/// A keep-alive connection of a caller to one HTTP server.
class http_caller
{
public:
    /// Will connect to the server with the first request.
    http_caller(boost::asio::any_io_executor executor,
                settings::endpoint server);

    /// Sends a request and reads the whole response; nothing if the connection
    /// failed or ended early, or the time ran out.
    boost::asio::awaitable<std::optional<http_response>>
    call(http_request request, std::chrono::milliseconds timeout);

    /// Whether the last failed call never reached a server.
    bool connect_failed() const
    {
        return connect_failed_;
    }

private:
    boost::asio::awaitable<bool> connect(std::chrono::milliseconds timeout);

    /// The server's address.
    settings::endpoint server_;
    /// The connection.
    boost::beast::tcp_stream stream_;
    /// Bytes that were read ahead.
    boost::beast::flat_buffer buffer_;
    /// Whether the connection can take a request.
    bool connected_ = false;
    /// Whether the last call failed before anything was sent.
    bool connect_failed_ = false;
};

/// Makes a request with a body.
http_request make_request(boost::beast::http::verb method,
                          std::string_view target,
                          std::string body = {});

/// Sends one request on a connection of its own. The server's address must
/// outlive the call.
boost::asio::awaitable<std::optional<http_response>>
call_once(settings::endpoint const& server,
          http_request request,
          std::chrono::milliseconds timeout);

} // namespace kumquatloom::stand_ins

#endif
