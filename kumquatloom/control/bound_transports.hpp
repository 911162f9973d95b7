#ifndef KUMQUATLOOM_CONTROL_BOUND_TRANSPORTS_HPP
#define KUMQUATLOOM_CONTROL_BOUND_TRANSPORTS_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/tcp_transport.hpp>
#include <kumquatloom/peer/udp_transport.hpp>

#include <memory>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace kumquatloom::settings
{
struct instance_settings;
} // namespace kumquatloom::settings

namespace kumquatloom::control
{

/// Both transports, bound to the same port number.
struct bound_transports
{
    /// Datagrams.
    std::unique_ptr<peer::udp_transport> udp;
    /// Streams.
    std::unique_ptr<peer::tcp_transport> tcp;
};

/// Binds both to the peers' address of the settings. Throws
/// boost::system::system_error if that is not possible.
bound_transports bind_transports(boost::asio::io_context& context,
                                 settings::instance_settings const& settings,
                                 core::incarnation incarnation,
                                 peer::traffic_counters& traffic);

} // namespace kumquatloom::control

#endif
