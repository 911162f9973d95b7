#ifndef KUMQUATLOOM_ENTRY_BUFFERED_SIZE_HPP
#define KUMQUATLOOM_ENTRY_BUFFERED_SIZE_HPP

#include <kumquatloom/log_service/receive_buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>

namespace kumquatloom::entry
{

/// Bytes that a parsed field takes in addition to its text: its node in the
/// parser's list, the overhead of its allocation, and the views of it that are
/// made while the message is handled.
inline constexpr std::size_t field_bytes = 160;

/// Header fields of usual messages, which are part of the cost of a connection.
inline constexpr std::size_t usual_fields = 32;

/// Bytes that a message takes while it is read: the body, whose stated length
/// counts from the start, twice the receive buffer, for the text of the parsed
/// fields, and the overhead of each field. Short fields take many times their
/// text.
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
    auto const& header = parser.get().base();
    auto const fields =
        static_cast<std::size_t>(std::distance(header.begin(), header.end()));
    auto const excess_fields = fields - std::min(fields, usual_fields);
    return body + 2 * excess + excess_fields * field_bytes;
}

} // namespace kumquatloom::entry

#endif
