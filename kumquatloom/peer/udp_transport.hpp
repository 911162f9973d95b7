#ifndef KUMQUATLOOM_PEER_UDP_TRANSPORT_HPP
#define KUMQUATLOOM_PEER_UDP_TRANSPORT_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/drop_reason.hpp>
#include <kumquatloom/peer/frame.hpp>
#include <kumquatloom/peer/frame_codec_settings.hpp>
#include <kumquatloom/peer/traffic_counters.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace kumquatloom::peer
{

/// Sends and receives the datagrams of the inner protocol. Thread-safe; the
/// handlers run on the transport's own strand. Datagrams that the socket does
/// not take at once are dropped and counted, so no queue can grow.
class udp_transport
{
public:
    /// Called for each accepted frame with the address that it came from.
    using receive_handler =
        std::function<void(frame const&, settings::endpoint const&)>;
    /// Tells where a sender is, for the counters.
    using scope_lookup = std::function<peer_scope(core::instance_id const&)>;

    /// Binds the socket; port 0 lets the system choose one. The context and
    /// the counters must outlive the transport. Throws
    /// boost::system::system_error if the address cannot be bound.
    udp_transport(boost::asio::io_context& context,
                  settings::endpoint const& listen,
                  frame_codec_settings codec,
                  traffic_counters& traffic);

    /// Stops the transport.
    ~udp_transport();

    udp_transport(udp_transport const&) = delete;
    udp_transport& operator=(udp_transport const&) = delete;

    /// Starts to receive.
    void start(receive_handler on_frame, scope_lookup scope_of);

    /// Sends a message, once encoded, to each destination.
    void send(std::vector<destination> destinations, message body);

    /// Continues as another incarnation of this instance.
    void adopt_incarnation(core::incarnation incarnation);

    /// Closes the socket. No handler is called once the strand has run this.
    void stop();

    /// The address that the socket is bound to.
    settings::endpoint local_endpoint() const;

    /// Counters of dropped frames.
    core::counter_family<drop_reason> const& drops() const;

    /// Messages that could not be encoded or were not taken by the socket.
    std::uint64_t send_failures() const;

private:
    class implementation;

    /// Socket, codec and handlers; shared with running operations.
    boost::intrusive_ptr<implementation> implementation_;
};

} // namespace kumquatloom::peer

#endif
