#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/stream_connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace asio = boost::asio;
using boost::system::error_code;

namespace kumquatloom::peer
{

namespace
{

/// Completion token that returns errors instead of throwing them.
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

/// Size of the length prefix of a frame.
constexpr std::size_t prefix_bytes = 4;

/// Buffer growth per read. It bounds the memory that a peer can occupy by
/// announcing a large frame and then sending nothing.
constexpr std::size_t read_step_bytes = 16 * 1024;

} // namespace

stream_connection::stream_connection(asio::ip::tcp::socket socket,
                                     std::chrono::milliseconds timeout)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor(), timeout)
{
    timer_.async_wait(
        [self = boost::intrusive_ptr(this)](error_code error)
        {
            if (error)
                return;
            self->expired_ = true;
            self->close();
        });
}

asio::awaitable<bool>
stream_connection::connect(asio::ip::tcp::endpoint const& target)
{
    auto const [error] = co_await socket_.async_connect(target, no_throw);
    co_return !error;
}

asio::awaitable<core::result<std::string, peer_error>>
stream_connection::read_frame()
{
    std::array<unsigned char, prefix_bytes> prefix{};
    auto const [prefix_error, prefix_read] =
        co_await asio::async_read(socket_, asio::buffer(prefix), no_throw);
    if (prefix_error)
        co_return failure();
    std::size_t const size = boost::endian::load_big_u32(prefix.data());
    if (size > max_stream_frame_bytes)
        co_return peer_error::oversized;
    std::string bytes;
    while (bytes.size() < size)
    {
        auto const position = bytes.size();
        auto const step = std::min(read_step_bytes, size - position);
        bytes.resize(position + step);
        auto const [error, read] = co_await asio::async_read(
            socket_, asio::buffer(bytes.data() + position, step), no_throw);
        if (error)
            co_return failure();
    }
    co_return bytes;
}

asio::awaitable<bool> stream_connection::write_frame(std::string const& bytes)
{
    std::array<unsigned char, prefix_bytes> prefix{};
    boost::endian::store_big_u32(prefix.data(),
                                 static_cast<std::uint32_t>(bytes.size()));
    std::array<asio::const_buffer, 2> const buffers{asio::buffer(prefix),
                                                    asio::buffer(bytes)};
    auto const [error, written] =
        co_await asio::async_write(socket_, buffers, no_throw);
    co_return !error;
}

peer_error stream_connection::failure() const
{
    return expired_ ? peer_error::timeout : peer_error::connection_failed;
}

void stream_connection::close()
{
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

} // namespace kumquatloom::peer
