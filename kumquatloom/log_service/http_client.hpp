#ifndef KUMQUATLOOM_LOG_SERVICE_HTTP_CLIENT_HPP
#define KUMQUATLOOM_LOG_SERVICE_HTTP_CLIENT_HPP

#include <kumquatloom/core/result.hpp>
#include <kumquatloom/log_service/error.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace kumquatloom::log_service
{

/// Bounds of an HTTP client.
struct http_client_settings
{
    /// Time for the connection and, without waiting on purpose, the response.
    std::chrono::milliseconds timeout{2000};
    /// Largest body of a response.
    std::size_t max_body_bytes = 8 * 1024 * 1024;
};

/// A whole response.
struct http_response
{
    /// Status code.
    unsigned status = 0;
    /// The body.
    std::string body;
};

/// Sends requests to one server, each on a connection of its own, so that a
/// request that fails is never one that ran into an old connection.
class http_client
{
public:
    /// Result of one exchange.
    using exchange = core::result<http_response, http_error>;

    /// Connects to `server` for each request.
    explicit http_client(settings::endpoint server,
                         http_client_settings settings = {});

    /// Sends a GET request. The server may wait for `extra` on purpose.
    boost::asio::awaitable<exchange>
    fetch(std::string target, std::chrono::milliseconds extra = {}) const;

    /// Sends a POST request.
    boost::asio::awaitable<exchange>
    post(std::string target,
         std::string body,
         std::string content_type = "application/json") const;

    /// The server.
    settings::endpoint const& server() const
    {
        return server_;
    }

private:
    enum class request_method : std::uint8_t
    {
        fetch,
        post
    };

    boost::asio::awaitable<exchange>
    run(request_method method,
        std::string target,
        std::string body,
        std::string content_type,
        std::chrono::milliseconds timeout) const;

    /// The server.
    settings::endpoint server_;
    /// The bounds.
    http_client_settings settings_;
};

} // namespace kumquatloom::log_service

#endif
