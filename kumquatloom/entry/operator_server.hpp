#ifndef KUMQUATLOOM_ENTRY_OPERATOR_SERVER_HPP
#define KUMQUATLOOM_ENTRY_OPERATOR_SERVER_HPP

#include <kumquatloom/entry/connection_slots.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>

namespace kumquatloom::entry
{

struct instance_state;
class drain_controller;
class fleet_link;

/// HTTP server for operators: metrics, status, health checks, document edits
/// and drain.
class operator_server
{
public:
    /// Binds to the address and listens. Throws if either fails.
    operator_server(asio::io_context& context,
                    instance_state& state,
                    drain_controller& drain,
                    tcp::endpoint const& address);

    /// Enables reading and editing the fleet's document. The link must outlive
    /// the server.
    void connect(fleet_link& fleet)
    {
        fleet_ = &fleet;
    }

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
    asio::awaitable<http_response> handle(http_request const& request);
    asio::awaitable<http_response> append_edit(std::string const& text);
    http_response page(std::string_view path) const;
    http_response document_page() const;
    bool ready() const;

    /// Executes the connections' coroutines.
    asio::io_context& context_;
    /// State shared by all threads of the instance.
    instance_state& state_;
    /// Drains the instance on request.
    drain_controller& drain_;
    /// Null for a standalone instance.
    fleet_link* fleet_ = nullptr;
    /// The open connections.
    connection_slots slots_;
    tcp::acceptor acceptor_;
};

} // namespace kumquatloom::entry

#endif
