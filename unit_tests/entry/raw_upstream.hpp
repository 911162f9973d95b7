#ifndef KUMQUATLOOM_UNIT_TESTS_ENTRY_RAW_UPSTREAM_HPP
#define KUMQUATLOOM_UNIT_TESTS_ENTRY_RAW_UPSTREAM_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace kumquatloom::unit_tests
{

using received_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// How the upstream handles one request.
struct raw_reply
{
    /// The raw bytes of the response.
    std::string bytes;
    /// Whether to close the connection afterwards.
    bool close = false;
    /// Whether to reset the connection afterwards (RST instead of FIN).
    bool reset = false;
    /// Whether to delay the response until release() or until the entry
    /// instance closes the connection.
    bool hold = false;
    /// Bytes that are repeated after `bytes` until the entry instance closes
    /// the connection.
    std::string endless = {};
};

/// A complete response that echoes the request id.
std::string complete_response(received_request const& request,
                              std::string_view body,
                              std::string_view more_headers = {});

/// A response with the given request id and Content-Length, which may be wrong.
std::string forged_response(std::string_view id,
                            std::size_t length,
                            std::string_view body,
                            std::string_view more_headers = {});

/// An upstream on its own thread that sends scripted bytes.
class raw_upstream
{
public:
    using script = std::function<raw_reply(received_request const&)>;

    /// `on_request` is called for each request, on the thread of the upstream.
    explicit raw_upstream(script on_request);
    ~raw_upstream();

    /// The bound port.
    std::uint16_t port() const
    {
        return port_;
    }

    /// Number of requests that were read completely; each counts as executed.
    unsigned executions() const
    {
        return executions_;
    }

    /// Number of accepted connections.
    unsigned connections() const
    {
        return connections_;
    }

    /// Number of held requests whose connection the entry instance closed.
    unsigned cancelled() const
    {
        return cancelled_;
    }

    /// Number of requests that are currently held.
    unsigned held() const
    {
        return held_;
    }

    /// Total size of the endless bytes that were written.
    std::uint64_t endless_bytes() const
    {
        return endless_bytes_;
    }

    /// Responds to all held requests and holds no further ones.
    void release()
    {
        released_ = true;
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> hold(boost::asio::ip::tcp::socket& socket);
    boost::asio::awaitable<void>
    write_endlessly(boost::asio::ip::tcp::socket& socket,
                    std::string const& unit);

    /// Returns the reply to each request.
    script on_request_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    /// See the functions of the same names.
    std::atomic<unsigned> executions_{0};
    std::atomic<unsigned> connections_{0};
    std::atomic<unsigned> cancelled_{0};
    std::atomic<unsigned> held_{0};
    std::atomic<std::uint64_t> endless_bytes_{0};
    /// Whether release() was called.
    std::atomic<bool> released_{false};
    std::thread thread_;
};

} // namespace kumquatloom::unit_tests

#endif
