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

/// An HTTP client that keeps one connection to a server alive.
class http_caller
{
public:
    /// Creates a client; the first call connects to the server.
    http_caller(boost::asio::any_io_executor executor,
                settings::endpoint server);

    /// Sends a request and reads the complete response. Returns nothing if the
    /// connection failed or was closed early, or after the timeout.
    boost::asio::awaitable<std::optional<http_response>>
    call(http_request request, std::chrono::milliseconds timeout);

    /// Whether the last call failed because it could not connect.
    bool connect_failed() const
    {
        return connect_failed_;
    }

private:
    boost::asio::awaitable<bool> connect(std::chrono::milliseconds timeout);

    /// Address of the server.
    settings::endpoint server_;
    /// The connection.
    boost::beast::tcp_stream stream_;
    /// Bytes read beyond the last response.
    boost::beast::flat_buffer buffer_;
    /// Whether the connection is open and idle.
    bool connected_ = false;
    /// See connect_failed().
    bool connect_failed_ = false;
};

/// Creates a request with a body.
http_request make_request(boost::beast::http::verb method,
                          std::string_view target,
                          std::string body = {});

/// Sends one request on a new connection. The server's address must outlive the
/// call.
boost::asio::awaitable<std::optional<http_response>>
call_once(settings::endpoint const& server,
          http_request request,
          std::chrono::milliseconds timeout);

} // namespace kumquatloom::stand_ins

#endif
