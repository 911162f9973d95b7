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

/// Exchanges the stream messages of the inner protocol: a four-byte length in
/// network order, then one frame. Each connection carries one message and at
/// most one response, because syncs and grants are rare (today some per minute)
/// and a connection costs about 1 ms. Every connection has a deadline, and
/// their number and the size of a frame are bounded, so that slow or stuck
/// peers cannot hold memory. Thread-safe; the handlers run on the transport's
/// own strand.
class tcp_transport
{
public:
    /// Sends the response; the connection closes without one if it is dropped.
    using responder = std::function<void(message)>;
    /// Called for each accepted request or push.
    using request_handler = std::function<void(frame const&, responder)>;
    /// Called once with the response to a request.
    using response_handler =
        std::function<void(core::result<frame, peer_error>)>;
    /// Tells where a sender is, for the counters.
    using scope_lookup = std::function<peer_scope(core::instance_id const&)>;

    /// Listens; port 0 lets the system choose one. The context and the
    /// counters must outlive the transport. Throws
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

    /// Starts to accept connections.
    void start(request_handler on_request, scope_lookup scope_of);

    /// Sends a sync or share request. The response must be of the matching kind
    /// and repeat the nonce. The handler is called within the timeout.
    void request(destination target,
                 message body,
                 std::chrono::milliseconds timeout,
                 response_handler on_response);

    /// Sends a message that is not answered, such as a push of records.
    void
    push(destination target, message body, std::chrono::milliseconds timeout);

    /// Continues as another incarnation of this instance.
    void adopt_incarnation(core::incarnation incarnation);

    /// Closes the acceptor and all connections.
    void stop();

    /// The address that the acceptor is bound to.
    settings::endpoint local_endpoint() const;

    /// Counters of dropped frames.
    core::counter_family<drop_reason> const& drops() const;

    /// Counters of failed requests and pushes, and of refused connections.
    core::counter_family<peer_error> const& errors() const;

private:
    class implementation;

    /// Acceptor, codec and handlers; shared with running operations.
    boost::intrusive_ptr<implementation> implementation_;
};

} // namespace kumquatloom::peer

#endif
