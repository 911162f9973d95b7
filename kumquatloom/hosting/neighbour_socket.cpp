#include <kumquatloom/hosting/neighbour_socket.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <utility>

namespace kumquatloom::hosting
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

/// Position of the version in a datagram, after the byte order.
constexpr std::size_t version_offset = 1;

} // namespace

neighbour_socket::neighbour_socket(asio::io_context& context,
                                   settings::endpoint const& address,
                                   handlers on_datagram)
    : socket_(context,
              udp::endpoint(asio::ip::make_address(address.host), address.port))
    , handlers_(std::move(on_datagram))
{
    socket_.non_blocking(true);
}

void neighbour_socket::start()
{
    receive();
}

void neighbour_socket::stop()
{
    error_code ignored;
    socket_.close(ignored);
}

void neighbour_socket::send(settings::endpoint const& target,
                            std::string_view bytes)
{
    error_code error;
    auto const address = asio::ip::make_address(target.host, error);
    if (!error)
        socket_.send_to(asio::buffer(bytes.data(), bytes.size()),
                        udp::endpoint(address, target.port),
                        0,
                        error);
    if (error)
        ++send_failures_;
}

std::uint16_t neighbour_socket::port() const
{
    return socket_.local_endpoint().port();
}

void neighbour_socket::receive()
{
    socket_.async_receive_from(
        asio::buffer(buffer_),
        source_,
        [this](error_code error, std::size_t size)
        {
            if (error == asio::error::operation_aborted || !socket_.is_open())
                return;
            // Other errors stem from ICMP messages about earlier sends.
            if (!error && !dispatch(std::string_view(buffer_.data(), size)))
                ++malformed_;
            receive();
        });
}

bool neighbour_socket::dispatch(std::string_view bytes)
{
    if (bytes.size() <= version_offset)
        return false;
    switch (static_cast<std::uint8_t>(bytes[version_offset]))
    {
    case message_version:
        return dispatch(bytes, handlers_.message);
    case domain_report_version:
        return dispatch(bytes, handlers_.report);
    case departure_notice_version:
        return dispatch(bytes, handlers_.departures);
    case quota_message_version:
        return dispatch(bytes, handlers_.quotas);
    case level_message_version:
        return dispatch(bytes, handlers_.levels);
    default:
        return false;
    }
}

template <typename Message>
bool neighbour_socket::dispatch(
    std::string_view bytes,
    std::function<void(std::string const& host, Message const&)> const& handler)
{
    auto const message = decode<Message>(bytes);
    if (message)
        handler(source_.address().to_string(), *message);
    return message.has_value();
}

} // namespace kumquatloom::hosting
