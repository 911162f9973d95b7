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

/// The UDP and TCP transports of the peer protocol, bound to the same port.
struct bound_transports
{
    /// Carries heartbeats, probes and evidence.
    std::unique_ptr<peer::udp_transport> udp;
    /// Carries log records, snapshots and rate limit shares.
    std::unique_ptr<peer::tcp_transport> tcp;
};

/// Binds both transports to the configured peer address. Throws
/// boost::system::system_error if the address cannot be bound.
bound_transports bind_transports(boost::asio::io_context& context,
                                 settings::instance_settings const& settings,
                                 core::incarnation incarnation,
                                 peer::traffic_counters& traffic);

} // namespace kumquatloom::control

#endif
