#ifndef KUMQUATLOOM_ENTRY_UPSTREAM_CONNECTION_HPP
#define KUMQUATLOOM_ENTRY_UPSTREAM_CONNECTION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/entry/http_types.hpp>
#include <kumquatloom/log_service/receive_buffer.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

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

    /// Records that a request was refused on this connection. The upstream may
    /// write the refusal again, so the same request must not be sent here.
    void record_refusal(core::request_id const& id);

    /// Whether a request with this id was refused on this connection.
    bool has_refused(core::request_id const& id) const;

    /// Whether more refusals can be recorded.
    bool can_record_refusal() const
    {
        return refused_.size() < max_refusals;
    }

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
    /// Number of refusals after which the connection is not reused, which
    /// bounds the memory for their ids.
    static constexpr std::size_t max_refusals = 64;

    beast::tcp_stream stream_;
    /// Bytes that were read but not parsed yet.
    log_service::receive_buffer buffer_;
    /// Hashes of the ids of refused requests.
    std::vector<std::uint64_t> refused_;
};

} // namespace kumquatloom::entry

#endif
