#include <kumquatloom/control/bound_transports.hpp>
#include <kumquatloom/peer/tcp_transport_settings.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <boost/system/system_error.hpp>

namespace kumquatloom::control
{

namespace
{

/// Maximum number of ephemeral ports tried until one is free for both UDP and
/// TCP.
constexpr int port_attempts = 20;

peer::frame_codec_settings
codec_settings(settings::instance_settings const& settings,
               core::incarnation incarnation,
               peer::channel channel)
{
    peer::frame_codec_settings result;
    result.channel = channel;
    result.fleet = settings.fleet.name;
    result.keys = settings.fleet.keys;
    result.self = settings.instance.id;
    result.incarnation = incarnation;
    return result;
}

} // namespace

bound_transports bind_transports(boost::asio::io_context& context,
                                 settings::instance_settings const& settings,
                                 core::incarnation incarnation,
                                 peer::traffic_counters& traffic)
{
    for (int attempt = 1;; ++attempt)
    {
        bound_transports result;
        result.tcp = std::make_unique<peer::tcp_transport>(
            context,
            settings.listen.peers,
            peer::tcp_transport_settings{},
            codec_settings(settings, incarnation, peer::channel::stream),
            traffic);
        auto const address = result.tcp->local_endpoint();
        try
        {
            result.udp = std::make_unique<peer::udp_transport>(
                context,
                address,
                codec_settings(settings, incarnation, peer::channel::datagram),
                traffic);
            return result;
        }
        catch (boost::system::system_error const&)
        {
            // An ephemeral port that the kernel assigned to the TCP socket may
            // already be in use for UDP.
            if (settings.listen.peers.port != 0 || attempt == port_attempts)
                throw;
        }
    }
}

} // namespace kumquatloom::control
