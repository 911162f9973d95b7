#include <kumquatloom/peer/asio_address.hpp>
#include <kumquatloom/peer/frame_codec.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/udp_transport.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <array>
#include <atomic>
#include <utility>

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

namespace kumquatloom::peer
{

/// State of the transport, kept alive by running operations.
class udp_transport::implementation
    : public boost::intrusive_ref_counter<implementation>
{
public:
    implementation(asio::io_context& context,
                   settings::endpoint const& listen,
                   frame_codec_settings codec,
                   traffic_counters& traffic)
        : strand_(asio::make_strand(context))
        , socket_(strand_, udp::endpoint(parse_address(listen), listen.port))
        , codec_(std::move(codec))
        , traffic_(traffic)
    {
        socket_.non_blocking(true);
        local_endpoint_ = to_endpoint(socket_.local_endpoint());
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

    void start(receive_handler on_frame, scope_lookup scope_of)
    {
        on_frame_ = std::move(on_frame);
        scope_of_ = std::move(scope_of);
        receive();
    }

    void send(std::vector<destination> const& destinations, message const& body)
    {
        if (!socket_.is_open())
            return;
        auto const bytes = codec_.encode(body);
        if (!bytes)
        {
            ++send_failures_;
            return;
        }
        for (auto const& target : destinations)
            send_bytes(target, kind_of(body), bytes.value());
    }

    void stop()
    {
        error_code ignored;
        socket_.close(ignored);
        // Release the handlers, which may refer to objects that are destroyed
        // with the transport.
        on_frame_ = nullptr;
        scope_of_ = nullptr;
    }

    frame_codec& codec()
    {
        return codec_;
    }

    settings::endpoint const& local_endpoint() const
    {
        return local_endpoint_;
    }

    std::uint64_t send_failures() const
    {
        return send_failures_.load(std::memory_order_relaxed);
    }

private:
    void send_bytes(destination const& target,
                    message_kind kind,
                    std::string const& bytes)
    {
        error_code error;
        auto const address = asio::ip::make_address(target.address.host, error);
        if (!error)
            socket_.send_to(asio::buffer(bytes),
                            udp::endpoint(address, target.address.port),
                            0,
                            error);
        if (error)
            ++send_failures_;
        else
            traffic_.add(kind, direction::sent, target.scope, bytes.size());
    }

    void receive()
    {
        socket_.async_receive_from(asio::buffer(buffer_),
                                   source_,
                                   [self = boost::intrusive_ptr(this)](
                                       error_code error, std::size_t size)
                                   {
                                       if (!self->socket_.is_open())
                                           return;
                                       // Ignore errors: they are ICMP errors
                                       // caused by earlier sends.
                                       if (!error)
                                           self->handle_datagram(size);
                                       if (self->socket_.is_open())
                                           self->receive();
                                   });
    }

    void handle_datagram(std::size_t size)
    {
        auto const decoded = codec_.decode(
            std::string_view(buffer_.data(), size), core::clock::now());
        if (!decoded)
            return;
        auto const& accepted = decoded.value();
        traffic_.add(kind_of(accepted.body),
                     direction::received,
                     scope_of_(accepted.sender),
                     size);
        on_frame_(accepted, to_endpoint(source_));
    }

    asio::strand<asio::io_context::executor_type> strand_;
    udp::socket socket_;
    frame_codec codec_;
    traffic_counters& traffic_;
    settings::endpoint local_endpoint_;
    receive_handler on_frame_;
    scope_lookup scope_of_;
    udp::endpoint source_;
    // One byte longer than the maximum, to detect oversized datagrams.
    std::array<char, max_datagram_bytes + 1> buffer_{};
    std::atomic<std::uint64_t> send_failures_{0};
};

udp_transport::udp_transport(asio::io_context& context,
                             settings::endpoint const& listen,
                             frame_codec_settings codec,
                             traffic_counters& traffic)
    : implementation_(
          new implementation(context, listen, std::move(codec), traffic))
{
}

udp_transport::~udp_transport()
{
    stop();
}

void udp_transport::start(receive_handler on_frame, scope_lookup scope_of)
{
    implementation_->post(
        [on_frame = std::move(on_frame),
         scope_of = std::move(scope_of)](implementation& transport) mutable
        {
            transport.start(std::move(on_frame), std::move(scope_of));
        });
}

void udp_transport::send(std::vector<destination> destinations, message body)
{
    implementation_->post(
        [destinations = std::move(destinations),
         body = std::move(body)](implementation& transport)
        {
            transport.send(destinations, body);
        });
}

void udp_transport::adopt_incarnation(core::incarnation incarnation)
{
    implementation_->post(
        [incarnation](implementation& transport)
        {
            transport.codec().adopt_incarnation(incarnation);
        });
}

void udp_transport::stop()
{
    implementation_->post(
        [](implementation& transport)
        {
            transport.stop();
        });
}

settings::endpoint udp_transport::local_endpoint() const
{
    return implementation_->local_endpoint();
}

core::counter_family<drop_reason> const& udp_transport::drops() const
{
    return implementation_->codec().drops();
}

std::uint64_t udp_transport::send_failures() const
{
    return implementation_->send_failures();
}

} // namespace kumquatloom::peer
