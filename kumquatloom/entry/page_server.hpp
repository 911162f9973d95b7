#ifndef KUMQUATLOOM_ENTRY_PAGE_SERVER_HPP
#define KUMQUATLOOM_ENTRY_PAGE_SERVER_HPP

#include <kumquatloom/entry/connection_slots.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <string_view>

namespace kumquatloom::entry
{

/// HTTP server for GET requests that a function answers synchronously.
class page_server
{
public:
    /// Returns the response to a GET request for a target.
    using handler = std::function<http_response(std::string_view target)>;

    /// Binds to the address and listens, for at most `max_connections` at a
    /// time; `on_displaced` is called for each that is closed to make room.
    /// Throws if either fails.
    page_server(asio::io_context& context,
                tcp::endpoint const& address,
                std::size_t max_connections,
                std::function<void()> on_displaced,
                handler page_handler);

    /// Accepts connections until close().
    asio::awaitable<void> run();

    /// Stops accepting connections.
    void close();

    /// The local address that the socket is bound to.
    tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    asio::awaitable<void> serve(tcp::socket socket);

    /// Executes the connections' coroutines.
    asio::io_context& context_;
    handler handler_;
    /// The open connections.
    connection_slots slots_;
    tcp::acceptor acceptor_;
};

} // namespace kumquatloom::entry

#endif
