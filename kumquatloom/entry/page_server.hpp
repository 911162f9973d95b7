#ifndef KUMQUATLOOM_ENTRY_PAGE_SERVER_HPP
#define KUMQUATLOOM_ENTRY_PAGE_SERVER_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace kumquatloom::entry
{

/// Serves pages that need no body of a request: each target is answered by a
/// function at once.
class page_server
{
public:
    /// Makes the answer to a GET request for a target.
    using handler = std::function<http_response(std::string_view target)>;

    /// Binds to the address and listens. Throws if that is not possible.
    page_server(asio::io_context& context,
                tcp::endpoint const& address,
                handler answer);

    /// Serves until close().
    asio::awaitable<void> run();

    /// Accepts no more connections.
    void close();

    /// The address in use.
    tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    asio::awaitable<void> serve(tcp::socket socket);

    /// Runs the connections.
    asio::io_context& context_;
    /// Makes the answers.
    handler answer_;
    /// The listening socket.
    tcp::acceptor acceptor_;
};

} // namespace kumquatloom::entry

#endif
