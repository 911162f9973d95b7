#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_CONNECTION_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_CONNECTION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/log_service/receive_buffer.hpp>

#include <boost/asio/io_context.hpp>

namespace kumquatloom::entry
{

/// One connection to an upstream, used for one exchange at a time.
class upstream_connection
{
public:
    /// Starts closed.
    explicit upstream_connection(asio::io_context& context);

    /// Connects to `peer`; fails if the deadline passes first.
    asio::awaitable<error_code> connect(tcp::endpoint peer,
                                        core::time_point deadline);

    /// Whether the connection is open and has no unread data. Data received
    /// outside of an exchange can't belong to a later request.
    bool is_reusable();

    /// Closes the connection; a running exchange fails.
    void close();

    beast::tcp_stream& stream()
    {
        return stream_;
    }

    /// Bytes that were read but not parsed yet.
    log_service::receive_buffer& buffer()
    {
        return buffer_;
    }

private:
    beast::tcp_stream stream_;
    /// Bytes that were read but not parsed yet.
    log_service::receive_buffer buffer_;
};

} // namespace kumquatloom::entry

#endif
