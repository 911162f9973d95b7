#ifndef KUMQUATLOOM_LOG_SERVICE_RECEIVE_BUFFER_HPP
#define KUMQUATLOOM_LOG_SERVICE_RECEIVE_BUFFER_HPP

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace kumquatloom::log_service
{

/// Received bytes that the HTTP parser has not consumed yet. It consumes chunk
/// headers and trailers as a whole and does not limit their size, so the buffer
/// does: a read that would exceed it fails.
class receive_buffer : public boost::beast::flat_buffer
{
public:
    /// Maximum size, twice the largest header that is accepted.
    static constexpr std::size_t max_bytes = 128 * 1024;

    receive_buffer()
        : boost::beast::flat_buffer(max_bytes)
    {
    }

    /// Frees the memory if it is empty and has grown, so that a connection that
    /// carried a long header takes little while it is idle.
    void release_excess()
    {
        if (size() == 0 && capacity() > max_idle_bytes)
            shrink_to_fit();
    }

private:
    /// Memory that an empty buffer keeps for the next message.
    static constexpr std::size_t max_idle_bytes = 8 * 1024;
};

} // namespace kumquatloom::log_service

#endif
