#ifndef KUMQUATLOOM_LOG_SERVICE_READ_BODY_HPP
#define KUMQUATLOOM_LOG_SERVICE_READ_BODY_HPP

#include <kumquatloom/log_service/receive_buffer.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/error_code.hpp>

#include <concepts>
#include <cstddef>

namespace kumquatloom::log_service
{

/// Reads the rest of a message after its header. Fails with body_limit if the
/// body with its framing exceeds `limit` and an allowance, or if `accept_part`,
/// which is called after each read, returns false.
template <typename Stream, typename Parser, std::predicate AcceptPart>
boost::asio::awaitable<boost::system::error_code>
read_body(Stream& stream,
          receive_buffer& buffer,
          Parser& parser,
          std::size_t limit,
          AcceptPart accept_part)
{
    namespace http = boost::beast::http;
    // Chunk headers and trailers of a body of the maximum size.
    constexpr std::size_t framing_allowance = 64 * 1024;
    constexpr auto as_result =
        boost::asio::as_tuple(boost::asio::use_awaitable);
    std::size_t received = 0;
    while (!parser.is_done())
    {
        auto const [error, size] =
            co_await http::async_read_some(stream, buffer, parser, as_result);
        if (error)
            co_return error;
        received += size;
        if (received > limit + framing_allowance || !accept_part())
            co_return make_error_code(http::error::body_limit);
    }
    co_return boost::system::error_code();
}

} // namespace kumquatloom::log_service

#endif
