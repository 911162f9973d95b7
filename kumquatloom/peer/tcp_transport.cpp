#include <kumquatloom/peer/asio_address.hpp>
#include <kumquatloom/peer/frame_codec.hpp>
#include <kumquatloom/peer/pending_response.hpp>
#include <kumquatloom/peer/stream_connection.hpp>
#include <kumquatloom/peer/tcp_transport.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/assert.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <optional>
#include <set>
#include <utility>

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace kumquatloom::peer
{

namespace
{

/// Completion token that returns errors instead of throwing them.
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

/// Delay after a failed accept, which avoids a busy loop while file descriptors
/// are exhausted.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Returns the nonce of a message, if its kind has one.
std::optional<std::uint64_t> nonce_of(message const& body)
{
    return std::visit(
        [](auto const& alternative) -> std::optional<std::uint64_t>
        {
            if constexpr (requires { alternative.nonce; })
                return alternative.nonce;
            else
                return std::nullopt;
        },
        body);
}

/// Whether a message is the response to a request.
bool is_response_to(message const& response, message const& request)
{
    auto const request_kind = kind_of(request);
    auto const response_kind = kind_of(response);
    bool const kinds_match = (request_kind == message_kind::sync_request &&
                              response_kind == message_kind::sync_response) ||
                             (request_kind == message_kind::share_request &&
                              response_kind == message_kind::share_grant);
    return kinds_match && nonce_of(response) == nonce_of(request);
}

} // namespace

/// State of the transport, kept alive by running operations.
class tcp_transport::implementation
    : public boost::intrusive_ref_counter<implementation>
{
public:
    implementation(asio::io_context& context,
                   settings::endpoint const& listen,
                   tcp_transport_settings settings,
                   frame_codec_settings codec,
                   traffic_counters& traffic)
        : settings_(settings)
        , strand_(asio::make_strand(context))
        , acceptor_(strand_, tcp::endpoint(parse_address(listen), listen.port))
        , codec_(std::move(codec))
        , traffic_(traffic)
        , local_endpoint_(to_endpoint(acceptor_.local_endpoint()))
    {
    }

    /// Runs a function on the strand.
    template <typename Function>
    void post(Function function)
    {
        asio::post(strand_,
                   [self = boost::intrusive_ptr(this),
                    function = std::move(function)]() mutable
                   {
                       function(*self);
                   });
    }

    void start(request_handler on_request, scope_lookup scope_of)
    {
        on_request_ = std::move(on_request);
        scope_of_ = std::move(scope_of);
        asio::co_spawn(strand_,
                       accept_connections(boost::intrusive_ptr(this)),
                       asio::detached);
    }

    /// Starts a request, or a push if `on_response` is empty.
    void exchange(destination target,
                  message body,
                  std::chrono::milliseconds timeout,
                  response_handler on_response)
    {
        if (stopped_)
            return finish(peer_error::stopped, on_response);
        auto encoded = codec_.encode(body);
        if (!encoded)
            return finish(encoded.error(), on_response);
        if (outgoing_ >= settings_.outgoing_connections)
            return finish(peer_error::too_many_connections, on_response);
        auto connection = make_connection(timeout);
        asio::co_spawn(strand_,
                       run_exchange(boost::intrusive_ptr(this),
                                    std::move(connection),
                                    std::move(target),
                                    std::move(body),
                                    std::move(encoded.value()),
                                    std::move(on_response)),
                       asio::detached);
    }

    void stop()
    {
        stopped_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        for (auto* connection : connections_)
            connection->close();
        // Release the handlers, which may refer to objects that are destroyed
        // with the transport.
        on_request_ = nullptr;
        scope_of_ = nullptr;
    }

    frame_codec& codec()
    {
        return codec_;
    }

    core::counter_family<peer_error> const& errors() const
    {
        return errors_;
    }

    settings::endpoint const& local_endpoint() const
    {
        return local_endpoint_;
    }

private:
    using pointer = boost::intrusive_ptr<implementation>;
    using connection_pointer = boost::intrusive_ptr<stream_connection>;

    /// Scope guard that counts and registers a connection, and closes it at the
    /// end of its scope.
    class connection_guard
    {
    public:
        connection_guard(implementation& owner,
                         std::size_t& count,
                         stream_connection& connection)
            : owner_(owner)
            , count_(count)
            , connection_(connection)
        {
            ++count_;
            owner_.connections_.insert(&connection_);
        }

        ~connection_guard()
        {
            --count_;
            owner_.connections_.erase(&connection_);
            connection_.close();
        }

        connection_guard(connection_guard const&) = delete;
        connection_guard& operator=(connection_guard const&) = delete;

    private:
        implementation& owner_;
        std::size_t& count_;
        stream_connection& connection_;
    };

    connection_pointer make_connection(std::chrono::milliseconds timeout)
    {
        return connection_pointer(
            new stream_connection(tcp::socket(strand_), timeout));
    }

    /// Counts an error of a request or push and passes it to the handler.
    void finish(peer_error error, response_handler const& on_response)
    {
        errors_.increment(error);
        if (on_response)
            on_response(error);
    }

    static asio::awaitable<void> accept_connections(pointer self)
    {
        while (self->acceptor_.is_open())
        {
            auto [error, socket] =
                co_await self->acceptor_.async_accept(no_throw);
            if (!self->acceptor_.is_open())
                co_return;
            if (error)
            {
                asio::steady_timer retry_timer(self->strand_,
                                               accept_retry_delay);
                co_await retry_timer.async_wait(no_throw);
                continue;
            }
            // Reject excess connections: the socket is closed as it goes out
            // of scope.
            if (self->incoming_ >= self->settings_.incoming_connections)
            {
                self->errors_.increment(peer_error::too_many_connections);
                continue;
            }
            connection_pointer connection(new stream_connection(
                std::move(socket), self->settings_.incoming_deadline));
            asio::co_spawn(self->strand_,
                           serve(self, std::move(connection)),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(pointer self,
                                       connection_pointer connection)
    {
        connection_guard const guard(*self, self->incoming_, *connection);
        auto const bytes = co_await connection->read_frame();
        if (!bytes)
        {
            self->errors_.increment(bytes.error());
            co_return;
        }
        auto const received =
            self->codec_.decode(bytes.value(), core::clock::now());
        if (!received || !self->on_request_)
            co_return;
        auto const scope = self->count_received(received.value());

        // The handler may respond later and from another thread. If it destroys
        // the responder without a response, the wait ends early.
        auto const pending =
            boost::intrusive_ptr(new pending_response(self->strand_));
        self->on_request_(received.value(),
                          pending_response::make_responder(pending));
        auto response = co_await pending->wait(connection->deadline());
        if (!response || self->stopped_)
            co_return;
        auto const encoded = self->codec_.encode(*response);
        if (!encoded)
        {
            self->errors_.increment(encoded.error());
            co_return;
        }
        if (co_await connection->write_frame(encoded.value()))
            self->traffic_.add(kind_of(*response),
                               direction::sent,
                               scope,
                               encoded.value().size());
    }

    static asio::awaitable<void> run_exchange(pointer self,
                                              connection_pointer connection,
                                              destination target,
                                              message body,
                                              std::string bytes,
                                              response_handler on_response)
    {
        connection_guard const guard(*self, self->outgoing_, *connection);
        auto response = co_await self->send_and_receive(
            *connection, target, body, bytes, static_cast<bool>(on_response));
        if (!response)
            self->errors_.increment(response.error());
        if (on_response)
            on_response(std::move(response));
    }

    /// Connects, sends the message and reads the response if one is expected.
    asio::awaitable<core::result<frame, peer_error>>
    send_and_receive(stream_connection& connection,
                     destination const& target,
                     message const& body,
                     std::string const& bytes,
                     bool expects_response)
    {
        error_code error;
        auto const address = asio::ip::make_address(target.address.host, error);
        if (error)
            co_return peer_error::bad_address;
        if (!co_await connection.connect(
                tcp::endpoint(address, target.address.port)) ||
            !co_await connection.write_frame(bytes))
            co_return connection.failure();
        traffic_.add(
            kind_of(body), direction::sent, target.scope, bytes.size());
        if (!expects_response)
            co_return frame();
        auto const response_bytes = co_await connection.read_frame();
        if (!response_bytes)
            co_return response_bytes.error();
        auto received =
            codec_.decode(response_bytes.value(), core::clock::now());
        if (!received || !is_response_to(received.value().body, body))
            co_return peer_error::bad_response;
        traffic_.add(kind_of(received.value().body),
                     direction::received,
                     target.scope,
                     received.value().size_bytes);
        co_return std::move(received.value());
    }

    peer_scope count_received(frame const& received)
    {
        auto const scope = scope_of_(received.sender);
        traffic_.add(kind_of(received.body),
                     direction::received,
                     scope,
                     received.size_bytes);
        return scope;
    }

    tcp_transport_settings settings_;
    asio::strand<asio::io_context::executor_type> strand_;
    tcp::acceptor acceptor_;
    frame_codec codec_;
    traffic_counters& traffic_;
    settings::endpoint local_endpoint_;
    request_handler on_request_;
    scope_lookup scope_of_;
    core::counter_family<peer_error> errors_;
    std::size_t incoming_ = 0;
    std::size_t outgoing_ = 0;
    bool stopped_ = false;
    /// Open connections, which stop() closes.
    std::set<stream_connection*> connections_;
};

tcp_transport::tcp_transport(asio::io_context& context,
                             settings::endpoint const& listen,
                             tcp_transport_settings settings,
                             frame_codec_settings codec,
                             traffic_counters& traffic)
    : implementation_(new implementation(
          context, listen, settings, std::move(codec), traffic))
{
}

tcp_transport::~tcp_transport()
{
    stop();
}

void tcp_transport::start(request_handler on_request, scope_lookup scope_of)
{
    implementation_->post(
        [on_request = std::move(on_request),
         scope_of = std::move(scope_of)](implementation& transport) mutable
        {
            transport.start(std::move(on_request), std::move(scope_of));
        });
}

void tcp_transport::request(destination target,
                            message body,
                            std::chrono::milliseconds timeout,
                            response_handler on_response)
{
    BOOST_ASSERT(on_response);
    implementation_->post(
        [target = std::move(target),
         body = std::move(body),
         timeout,
         on_response =
             std::move(on_response)](implementation& transport) mutable
        {
            transport.exchange(std::move(target),
                               std::move(body),
                               timeout,
                               std::move(on_response));
        });
}

void tcp_transport::push(destination target,
                         message body,
                         std::chrono::milliseconds timeout)
{
    implementation_->post(
        [target = std::move(target), body = std::move(body), timeout](
            implementation& transport) mutable
        {
            transport.exchange(
                std::move(target), std::move(body), timeout, nullptr);
        });
}

void tcp_transport::adopt_incarnation(core::incarnation incarnation)
{
    implementation_->post(
        [incarnation](implementation& transport)
        {
            transport.codec().adopt_incarnation(incarnation);
        });
}

void tcp_transport::stop()
{
    implementation_->post(
        [](implementation& transport)
        {
            transport.stop();
        });
}

settings::endpoint tcp_transport::local_endpoint() const
{
    return implementation_->local_endpoint();
}

core::counter_family<drop_reason> const& tcp_transport::drops() const
{
    return implementation_->codec().drops();
}

core::counter_family<peer_error> const& tcp_transport::errors() const
{
    return implementation_->errors();
}

} // namespace kumquatloom::peer
