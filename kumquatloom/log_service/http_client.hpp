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

/// Limits of an HTTP client.
struct http_client_settings
{
    /// Timeout from connecting to the end of the response. The `wait` of a
    /// request is added to it.
    std::chrono::milliseconds timeout{2000};
    /// Maximum size of a response body.
    std::size_t max_body_bytes = 8 * 1024 * 1024;
};

/// A complete response.
struct http_response
{
    /// Status code.
    unsigned status = 0;
    /// The body.
    std::string body;
};

/// Sends requests to one server, each on a new connection, so that no request
/// fails because an idle connection was closed by the server.
class http_client
{
public:
    /// The response or why there is none.
    using response_result = core::result<http_response, http_error>;

    /// Sends requests to `server`.
    explicit http_client(settings::endpoint server,
                         http_client_settings settings = {});

    /// Sends a GET request. `wait` extends the timeout of a long poll, for
    /// which the server delays its response by up to this time.
    boost::asio::awaitable<response_result>
    fetch(std::string target, std::chrono::milliseconds wait = {}) const;

    /// Sends a POST request.
    boost::asio::awaitable<response_result>
    post(std::string target,
         std::string body,
         std::string content_type = "application/json") const;

    /// Address of the server.
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

    boost::asio::awaitable<response_result>
    send(request_method method,
         std::string target,
         std::string body,
         std::string content_type,
         std::chrono::milliseconds timeout) const;

    /// Address of the server.
    settings::endpoint server_;
    /// Limits of each request.
    http_client_settings settings_;
};

} // namespace kumquatloom::log_service

#endif
