#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_CONNECTION_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_CONNECTION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace kumquatloom::entry
{

/// One connection to an upstream, used for one exchange at a time.
class upstream_connection
{
public:
    /// A connection that is not open yet.
    explicit upstream_connection(asio::io_context& context);

    /// Connects within the limits of the stream's timer.
    asio::awaitable<error_code> connect(tcp::endpoint peer,
                                        core::time_point deadline);

    /// Whether the connection is open and the peer has sent nothing. Bytes
    /// that nobody asked for cannot belong to a request sent later.
    bool quiet();

    /// Closes it; a running exchange ends with an error.
    void close();

    /// The stream, for the exchange.
    beast::tcp_stream& stream()
    {
        return stream_;
    }

    /// Bytes that were read and not parsed yet.
    beast::flat_buffer& buffer()
    {
        return buffer_;
    }

private:
    /// The socket with its timer.
    beast::tcp_stream stream_;
    /// Bytes that were read and not parsed yet.
    beast::flat_buffer buffer_;
};

} // namespace kumquatloom::entry

#endif
