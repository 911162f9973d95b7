#ifndef KUMQUATLOOM_ENTRY_BUFFERED_SIZE_HPP
#define KUMQUATLOOM_ENTRY_BUFFERED_SIZE_HPP

#include <kumquatloom/log_service/receive_buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

namespace kumquatloom::entry
{

/// Bytes that a message takes while it is read: the body, whose stated length
/// counts from the start, and twice the receive buffer, for the parsed fields.
template <typename Parser>
std::size_t buffered_size(log_service::receive_buffer const& buffer,
                          Parser const& parser)
{
    // A short body is stored inside of the string.
    auto const inline_bytes = std::string().capacity();
    std::size_t body = parser.get().body().capacity();
    if (body <= inline_bytes)
        body = 0;
    if (parser.is_header_done() && !parser.is_done() && parser.content_length())
        body = std::max<std::size_t>(body, *parser.content_length());
    // Buffers of usual headers are part of the cost of a connection.
    constexpr std::size_t connection_bytes = 4 * 1024;
    auto const excess =
        buffer.capacity() - std::min(buffer.capacity(), connection_bytes);
    return body + 2 * excess;
}

} // namespace kumquatloom::entry

#endif
