#ifndef KUMQUATLOOM_STAND_INS_HTTP_SERVICE_HPP
#define KUMQUATLOOM_STAND_INS_HTTP_SERVICE_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <stand_ins/http_types.hpp>

namespace kumquatloom::stand_ins
{

/// A small HTTP/1.1 server for stand-ins. Runs on one thread; the handler may
/// suspend.
class http_service
{
public:
    /// Answers one request.
    using handler =
        std::function<boost::asio::awaitable<http_reply>(http_request const&)>;

    /// Listens on the address and starts to accept connections. The service
    /// must outlive the context's run.
    http_service(boost::asio::io_context& context,
                 settings::endpoint const& listen,
                 handler on_request);

    /// The address that was bound, with the chosen port.
    settings::endpoint local_endpoint() const;

    /// Closes the listener; open connections end by themselves.
    void stop();

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void>
    serve_connection(boost::asio::ip::tcp::socket socket);

    /// Accepts connections.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Answers requests.
    handler on_request_;
};

} // namespace kumquatloom::stand_ins

#endif
