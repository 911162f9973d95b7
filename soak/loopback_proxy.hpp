#ifndef KUMQUATLOOM_SOAK_LOOPBACK_PROXY_HPP
#define KUMQUATLOOM_SOAK_LOOPBACK_PROXY_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <chrono>
#include <list>
#include <soak/trouble_clock.hpp>

namespace kumquatloom::soak
{

/// What a link does to the bytes that cross it.
struct link_fault
{
    /// Each piece of bytes arrives this much later.
    std::chrono::milliseconds delay{0};
    /// Bytes in this direction wait until the fault ends.
    bool holds_to_server = false;
    bool holds_to_client = false;
    /// New connections are reset.
    bool refuses = false;
};

/// A link between two programs on this machine: relays TCP connections and
/// does to them what faulty networks do.
class loopback_proxy
{
public:
    /// Relays connections to `listen` to `target`.
    loopback_proxy(boost::asio::io_context& context,
                   settings::endpoint const& listen,
                   settings::endpoint target);

    ~loopback_proxy();

    loopback_proxy(loopback_proxy const&) = delete;
    loopback_proxy& operator=(loopback_proxy const&) = delete;

    /// Begins or ends a fault.
    void behave(link_fault const& fault);

    /// Resets all open connections.
    void reset_connections();

    /// Open connections fall silent for good; new ones work.
    void silence_connections();

    /// Sends new connections elsewhere.
    void retarget(settings::endpoint target);

    /// Where it listens.
    settings::endpoint const& address() const
    {
        return address_;
    }

    /// When the link was in trouble.
    trouble_clock const& trouble() const
    {
        return trouble_;
    }

private:
    class connection;
    using connection_pointer = boost::intrusive_ptr<connection>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> relay(connection_pointer item);
    boost::asio::awaitable<void> pump(connection_pointer item,
                                      boost::asio::ip::tcp::socket& from,
                                      boost::asio::ip::tcp::socket& to,
                                      bool link_fault::*holds);

    /// Accepts connections.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Where it listens and sends to.
    settings::endpoint address_;
    settings::endpoint target_;
    /// What the link does now.
    link_fault fault_;
    bool is_faulty_ = false;
    /// Open connections.
    std::list<connection_pointer> connections_;
    /// See trouble().
    trouble_clock trouble_;
};

} // namespace kumquatloom::soak

#endif
