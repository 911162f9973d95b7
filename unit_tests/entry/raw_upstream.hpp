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

/// A request as the upstream received it.
using received_request =
    boost::beast::http::request<boost::beast::http::string_body>;

/// What the upstream does with one request.
struct raw_reply
{
    /// Bytes that are sent as they are.
    std::string bytes;
    /// Closes the connection afterwards.
    bool close = false;
    /// Resets the connection afterwards, without a FIN.
    bool reset = false;
    /// Waits before the answer until release() or until the entry instance
    /// closes the connection.
    bool hold = false;
};

/// A response with all headers that an upstream sends.
std::string whole_answer(received_request const& request,
                         std::string_view body,
                         std::string_view more_headers = {});

/// A response that echoes another request id or has another length.
std::string forged_answer(std::string_view id,
                          std::size_t length,
                          std::string_view body,
                          std::string_view more_headers = {});

/// An upstream in a thread of its own that sends scripted bytes.
class raw_upstream
{
public:
    using script = std::function<raw_reply(received_request const&)>;

    /// Serves each request by the script.
    explicit raw_upstream(script on_request);
    ~raw_upstream();

    /// The port in use.
    std::uint16_t port() const
    {
        return port_;
    }

    /// Requests that were read completely; each counts as executed.
    unsigned executions() const
    {
        return executions_;
    }

    /// Connections that were accepted.
    unsigned connections() const
    {
        return connections_;
    }

    /// Held requests whose connection the entry instance closed.
    unsigned cancelled() const
    {
        return cancelled_;
    }

    /// Requests that are held now.
    unsigned held() const
    {
        return held_;
    }

    /// Answers all held requests.
    void release()
    {
        released_ = true;
    }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> hold(boost::asio::ip::tcp::socket& socket);

    /// Decides about each request.
    script on_request_;
    /// Runs the server.
    boost::asio::io_context context_;
    /// The listening socket.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// The port in use.
    std::uint16_t port_;
    /// Requests that were read completely.
    std::atomic<unsigned> executions_{0};
    /// Connections that were accepted.
    std::atomic<unsigned> connections_{0};
    /// Held requests whose connection was closed.
    std::atomic<unsigned> cancelled_{0};
    /// Requests that are held now.
    std::atomic<unsigned> held_{0};
    /// Whether held requests are answered.
    std::atomic<bool> released_{false};
    /// Runs the context.
    std::thread thread_;
};

} // namespace kumquatloom::unit_tests

#endif
