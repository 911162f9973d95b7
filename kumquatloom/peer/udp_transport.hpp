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

/// Sends and receives the datagrams of the peer protocol. Datagrams that the
/// socket does not accept immediately are dropped and counted, so that no queue
/// builds up. Thread-safe; the handlers run on the transport's strand.
class udp_transport
{
public:
    /// Called for each frame that passes the codec's checks, with its source
    /// address.
    using receive_handler =
        std::function<void(frame const&, settings::endpoint const&)>;
    /// Returns whether a sender is in this instance's region; selects the
    /// traffic counters.
    using scope_lookup = std::function<peer_scope(core::instance_id const&)>;

    /// Binds the socket; the system chooses the port if that of `listen` is 0.
    /// The context and the counters must outlive the transport. Throws
    /// boost::system::system_error if the address cannot be bound.
    udp_transport(boost::asio::io_context& context,
                  settings::endpoint const& listen,
                  frame_codec_settings codec,
                  traffic_counters& traffic);

    /// Stops the transport.
    ~udp_transport();

    udp_transport(udp_transport const&) = delete;
    udp_transport& operator=(udp_transport const&) = delete;

    /// Starts receiving.
    void start(receive_handler on_frame, scope_lookup scope_of);

    /// Encodes a message once and sends it to all destinations.
    void send(std::vector<destination> destinations, message body);

    /// Continues with a higher incarnation of this instance.
    void adopt_incarnation(core::incarnation incarnation);

    /// Closes the socket, asynchronously on the strand; no handler is called
    /// after it has been closed.
    void stop();

    /// Address that the socket is bound to.
    settings::endpoint local_endpoint() const;

    /// Counters of dropped frames.
    core::counter_family<drop_reason> const& drops() const;

    /// Number of messages that could not be encoded and of datagrams that could
    /// not be sent.
    std::uint64_t send_failures() const;

private:
    class implementation;

    /// Owned jointly with running operations.
    boost::intrusive_ptr<implementation> implementation_;
};

} // namespace kumquatloom::peer

#endif
