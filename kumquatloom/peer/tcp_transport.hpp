#ifndef KUMQUATLOOM_PEER_TCP_TRANSPORT_HPP
#define KUMQUATLOOM_PEER_TCP_TRANSPORT_HPP

#include <kumquatloom/core/counter_family.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/peer/destination.hpp>
#include <kumquatloom/peer/drop_reason.hpp>
#include <kumquatloom/peer/error.hpp>
#include <kumquatloom/peer/frame.hpp>
#include <kumquatloom/peer/frame_codec_settings.hpp>
#include <kumquatloom/peer/tcp_transport_settings.hpp>
#include <kumquatloom/peer/traffic_counters.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <chrono>
#include <cstdint>
#include <functional>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace kumquatloom::peer
{

/// Sends and receives the stream messages of the peer protocol: a four-byte
/// length in network byte order, followed by one frame. Each connection carries
/// one message and at most one response: syncs and grants are rare (a few per
/// minute) and a connection costs about 1 ms, so connections are not reused.
/// Every connection has a deadline, and the number of connections and the size
/// of a frame are bounded, so that slow or hung peers cannot exhaust memory.
/// Thread-safe; the handlers run on the transport's strand.
class tcp_transport
{
public:
    /// Sends the response. If all copies are destroyed without a call, the
    /// connection is closed without a response.
    using responder = std::function<void(message)>;
    /// Called for each received request or push that passes the codec's checks.
    using request_handler = std::function<void(frame const&, responder)>;
    /// Called once with the response to a request or an error.
    using response_handler =
        std::function<void(core::result<frame, peer_error>)>;
    /// Returns whether a sender is in this instance's region; selects the
    /// traffic counters.
    using scope_lookup = std::function<peer_scope(core::instance_id const&)>;

    /// Opens the acceptor; the system chooses the port if that of `listen` is
    /// 0. The context and the counters must outlive the transport. Throws
    /// boost::system::system_error if the address cannot be bound.
    tcp_transport(boost::asio::io_context& context,
                  settings::endpoint const& listen,
                  tcp_transport_settings settings,
                  frame_codec_settings codec,
                  traffic_counters& traffic);

    /// Stops the transport.
    ~tcp_transport();

    tcp_transport(tcp_transport const&) = delete;
    tcp_transport& operator=(tcp_transport const&) = delete;

    /// Starts accepting connections.
    void start(request_handler on_request, scope_lookup scope_of);

    /// Sends a sync or share request. A response of another kind or with
    /// another nonce is an error. The handler is called within the timeout.
    void request(destination target,
                 message body,
                 std::chrono::milliseconds timeout,
                 response_handler on_response);

    /// Sends a message without waiting for a response, such as a push of
    /// records.
    void
    push(destination target, message body, std::chrono::milliseconds timeout);

    /// Continues with a higher incarnation of this instance.
    void adopt_incarnation(core::incarnation incarnation);

    /// Closes the acceptor and all connections, asynchronously on the strand;
    /// ends pending requests with an error.
    void stop();

    /// Address that the acceptor is bound to.
    settings::endpoint local_endpoint() const;

    /// Counters of dropped frames.
    core::counter_family<drop_reason> const& drops() const;

    /// Counters of failed requests, failed pushes and incoming connections that
    /// were rejected, failed before a whole frame was read, or had a response
    /// that could not be encoded.
    core::counter_family<peer_error> const& errors() const;

private:
    class implementation;

    /// Owned jointly with running operations.
    boost::intrusive_ptr<implementation> implementation_;
};

} // namespace kumquatloom::peer

#endif
