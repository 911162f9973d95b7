#ifndef KUMQUATLOOM_LOG_SERVICE_RECEIVE_BUFFER_HPP
#define KUMQUATLOOM_LOG_SERVICE_RECEIVE_BUFFER_HPP

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace kumquatloom::log_service
{

/// Received bytes that the HTTP parser has not consumed yet. The parser
/// consumes a header, the header of a chunk and a trailer only as a whole, and
/// limits the size of the first one alone; a read that would exceed the size of
/// this buffer fails.
class receive_buffer : public boost::beast::flat_buffer
{
public:
    /// Maximum size, twice the largest header that is accepted.
    static constexpr std::size_t max_bytes = 128 * 1024;

    receive_buffer()
        : boost::beast::flat_buffer(max_bytes)
    {
    }
};

} // namespace kumquatloom::log_service

#endif
