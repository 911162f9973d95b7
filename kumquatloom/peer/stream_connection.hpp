#ifndef KUMQUATLOOM_PEER_STREAM_CONNECTION_HPP
#define KUMQUATLOOM_PEER_STREAM_CONNECTION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/peer/error.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <string>

namespace kumquatloom::peer
{

/// One connection with a deadline for everything that happens on it. Only the
/// sources of the TCP transport include this header.
class stream_connection : public boost::intrusive_ref_counter<stream_connection>
{
public:
    /// Takes over a socket, connected or not; the timeout starts now.
    stream_connection(boost::asio::ip::tcp::socket socket,
                      std::chrono::milliseconds timeout);

    /// Connects; false on a failure.
    boost::asio::awaitable<bool>
    connect(boost::asio::ip::tcp::endpoint const& target);

    /// Reads one frame of bounded size.
    boost::asio::awaitable<core::result<std::string, peer_error>> read_frame();

    /// Writes one frame; false on a failure.
    boost::asio::awaitable<bool> write_frame(std::string const& bytes);

    /// Why the last operation failed.
    peer_error failure() const;

    /// When the connection is closed at the latest.
    core::time_point deadline() const
    {
        return timer_.expiry();
    }

    /// Closes the socket and stops the timer.
    void close();

private:
    /// The socket.
    boost::asio::ip::tcp::socket socket_;
    /// Closes the socket at the deadline.
    boost::asio::steady_timer timer_;
    /// Whether the deadline has passed.
    bool expired_ = false;
};

} // namespace kumquatloom::peer

#endif
