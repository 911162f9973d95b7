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

/// A TCP connection with one deadline for all of its operations. Included only
/// by the source files of the TCP transport.
class stream_connection : public boost::intrusive_ref_counter<stream_connection>
{
public:
    /// Takes ownership of a socket, connected or not, and starts the timeout.
    stream_connection(boost::asio::ip::tcp::socket socket,
                      std::chrono::milliseconds timeout);

    /// Connects; returns false on failure.
    boost::asio::awaitable<bool>
    connect(boost::asio::ip::tcp::endpoint const& target);

    /// Reads one frame of at most `max_stream_frame_bytes`.
    boost::asio::awaitable<core::result<std::string, peer_error>> read_frame();

    /// Writes one frame; returns false on failure.
    boost::asio::awaitable<bool> write_frame(std::string const& bytes);

    /// Error of a failed operation: a timeout after the deadline, otherwise a
    /// failed connection.
    peer_error failure() const;

    /// Time at which the connection is closed if it is still open.
    core::time_point deadline() const
    {
        return timer_.expiry();
    }

    /// Closes the socket and stops the timer.
    void close();

private:
    boost::asio::ip::tcp::socket socket_;
    /// Closes the socket at the deadline.
    boost::asio::steady_timer timer_;
    /// Whether the deadline has passed.
    bool expired_ = false;
};

} // namespace kumquatloom::peer

#endif
