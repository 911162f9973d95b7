#ifndef KUMQUATLOOM_ENTRY_OPERATOR_SERVER_HPP
#define KUMQUATLOOM_ENTRY_OPERATOR_SERVER_HPP

#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>

namespace kumquatloom::entry
{

struct instance_state;
class drain_controller;
class fleet_link;

/// The operators' port: metrics, status, probes and drain.
class operator_server
{
public:
    /// Binds to the address and listens. Throws if that is not possible.
    operator_server(asio::io_context& context,
                    instance_state& state,
                    drain_controller& drain,
                    tcp::endpoint const& address);

    /// Lets operators see and change the fleet's document. The link must
    /// outlive the server.
    void connect(fleet_link& fleet)
    {
        fleet_ = &fleet;
    }

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
    asio::awaitable<http_response> answer(http_request const& request);
    asio::awaitable<http_response> append_edit(std::string const& text);
    http_response page(std::string_view path) const;
    http_response document_page() const;
    bool ready() const;

    /// Runs the connections.
    asio::io_context& context_;
    /// What all threads share.
    instance_state& state_;
    /// Lets the instance leave.
    drain_controller& drain_;
    /// The link to the fleet, if there is one.
    fleet_link* fleet_ = nullptr;
    /// The listening socket.
    tcp::acceptor acceptor_;
};

} // namespace kumquatloom::entry

#endif
