#ifndef KUMQUATLOOM_STAND_INS_HTTP_SERVER_HPP
#define KUMQUATLOOM_STAND_INS_HTTP_SERVER_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <stand_ins/http_types.hpp>

namespace kumquatloom::stand_ins
{

/// A minimal HTTP/1.1 server for stand-ins. Runs on one thread; the handler is
/// a coroutine.
class http_server
{
public:
    /// Handles one request and returns the reply.
    using handler =
        std::function<boost::asio::awaitable<http_reply>(http_request const&)>;

    /// Listens on the address and starts to accept connections. The server
    /// must outlive the run of the context.
    http_server(boost::asio::io_context& context,
                settings::endpoint const& listen,
                handler on_request);

    /// The bound address; its port is never 0.
    settings::endpoint local_endpoint() const;

    /// Stops accepting; open connections stay until their peers close them.
    void stop();

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void>
    serve_connection(boost::asio::ip::tcp::socket socket);

    /// The listening socket.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Handles the requests.
    handler on_request_;
};

} // namespace kumquatloom::stand_ins

#endif
