#ifndef KUMQUATLOOM_SOAK_LOOPBACK_PROXY_HPP
#define KUMQUATLOOM_SOAK_LOOPBACK_PROXY_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <chrono>
#include <list>
#include <soak/disturbance_clock.hpp>

namespace kumquatloom::soak
{

/// Fault of a link.
struct link_fault
{
    /// Additional delay of each chunk of bytes.
    std::chrono::milliseconds delay{0};
    /// Bytes in this direction are held back until the fault ends.
    bool stalls_to_server = false;
    bool stalls_to_client = false;
    /// New connections are reset.
    bool refuses = false;
};

/// A TCP relay between two programs on this machine that injects network
/// faults.
class loopback_proxy
{
public:
    /// Accepts connections at `listen` and relays them to `target`.
    loopback_proxy(boost::asio::io_context& context,
                   settings::endpoint const& listen,
                   settings::endpoint target);

    ~loopback_proxy();

    loopback_proxy(loopback_proxy const&) = delete;
    loopback_proxy& operator=(loopback_proxy const&) = delete;

    /// Sets the fault of the link; a default-constructed one means none.
    void apply_fault(link_fault const& fault);

    /// Resets all open connections.
    void reset_connections();

    /// Stops forwarding on all open connections for good; new connections work.
    void stall_connections();

    /// Relays new connections to another target.
    void retarget(settings::endpoint target);

    /// Address at which the relay listens.
    settings::endpoint const& address() const
    {
        return address_;
    }

    /// When faults disturbed the link.
    disturbance_clock const& disturbance() const
    {
        return disturbance_;
    }

private:
    class connection;
    using connection_pointer = boost::intrusive_ptr<connection>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> relay(connection_pointer item);
    boost::asio::awaitable<void> forward(connection_pointer item,
                                         boost::asio::ip::tcp::socket& from,
                                         boost::asio::ip::tcp::socket& to,
                                         bool link_fault::*stalls);

    /// Accepts connections.
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Address at which the relay listens, and the target.
    settings::endpoint address_;
    settings::endpoint target_;
    /// The current fault.
    link_fault fault_;
    bool is_faulty_ = false;
    /// Open connections.
    std::list<connection_pointer> connections_;
    /// See disturbance().
    disturbance_clock disturbance_;
};

} // namespace kumquatloom::soak

#endif
