#ifndef KUMQUATLOOM_LOG_SERVICE_READ_MESSAGE_HPP
#define KUMQUATLOOM_LOG_SERVICE_READ_MESSAGE_HPP

#include <kumquatloom/log_service/receive_buffer.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/errc.hpp>
#include <boost/system/error_code.hpp>

#include <concepts>
#include <cstddef>

namespace kumquatloom::log_service
{

/// Doesn't wait for memory, so that a message that is not accepted fails.
struct no_wait
{
    boost::asio::awaitable<bool> operator()() const
    {
        co_return false;
    }
};

/// Reads until `is_done`. Fails with not_enough_memory if `accept_part`, called
/// with the bytes received whenever the message may have grown, returns false
/// and so does `wait`, which may wait until there is memory for it.
/// Beast's own reads buffer whole headers and trailers without such a check.
template <typename Stream,
          typename Parser,
          std::predicate IsDone,
          std::predicate<std::size_t> AcceptPart,
          typename Wait>
boost::asio::awaitable<boost::system::error_code>
read_until(Stream& stream,
           receive_buffer& buffer,
           Parser& parser,
           IsDone is_done,
           AcceptPart accept_part,
           Wait wait)
{
    namespace http = boost::beast::http;
    constexpr auto as_result =
        boost::asio::as_tuple(boost::asio::use_awaitable);
    constexpr std::size_t max_read_bytes = 64 * 1024;
    std::size_t received = buffer.size();
    while (!is_done())
    {
        boost::system::error_code error = http::error::need_more;
        std::size_t used = 0;
        if (buffer.size() != 0)
        {
            used = parser.put(buffer.data(), error);
            buffer.consume(used);
        }
        if (error && error != http::error::need_more)
            co_return error;
        if (!accept_part(received))
        {
            bool const accepted = co_await wait();
            if (!accepted)
                co_return make_error_code(
                    boost::system::errc::not_enough_memory);
        }
        // Parse what has been received before reading more.
        if (is_done() || (!error && used != 0 && buffer.size() != 0))
            continue;
        if (buffer.size() == buffer.max_size())
            co_return http::error::buffer_overflow;
        auto const size = boost::beast::read_size(buffer, max_read_bytes);
        auto const [read_error, added] =
            co_await stream.async_read_some(buffer.prepare(size), as_result);
        buffer.commit(added);
        received += added;
        if (read_error && read_error != boost::asio::error::eof)
            co_return read_error;
        if (!read_error)
            continue;
        if (!parser.got_some())
            co_return http::error::end_of_stream;
        error = {};
        parser.put_eof(error);
        if (error)
            co_return error;
    }
    co_return boost::system::error_code();
}

/// Reads a message up to the end of its header. See read_until().
template <typename Stream,
          typename Parser,
          std::predicate AcceptSize,
          typename Wait = no_wait>
boost::asio::awaitable<boost::system::error_code>
read_header(Stream& stream,
            receive_buffer& buffer,
            Parser& parser,
            AcceptSize accept_size,
            Wait wait = {})
{
    parser.eager(false);
    auto const is_done = [&parser]
    {
        return parser.is_header_done();
    };
    auto const accept_part = [&](std::size_t)
    {
        return accept_size();
    };
    co_return co_await read_until(
        stream, buffer, parser, is_done, accept_part, wait);
}

/// Reads the rest of a message after its header. Fails with body_limit if the
/// body with its framing exceeds `limit` and an allowance. See read_until().
template <typename Stream,
          typename Parser,
          std::predicate AcceptSize,
          typename Wait = no_wait>
boost::asio::awaitable<boost::system::error_code>
read_body(Stream& stream,
          receive_buffer& buffer,
          Parser& parser,
          std::size_t limit,
          AcceptSize accept_size,
          Wait wait = {})
{
    namespace http = boost::beast::http;
    // Chunk headers and trailers of a body of the maximum size.
    constexpr std::size_t framing_allowance = 64 * 1024;
    parser.eager(true);
    auto const is_done = [&parser]
    {
        return parser.is_done();
    };
    bool exceeded = false;
    auto const accept_part = [&](std::size_t received)
    {
        exceeded = received > limit + framing_allowance;
        return !exceeded && accept_size();
    };
    auto const wait_unless_exceeded = [&]() -> boost::asio::awaitable<bool>
    {
        bool accepted = false;
        if (!exceeded)
            accepted = co_await wait();
        co_return accepted;
    };
    auto const error = co_await read_until(
        stream, buffer, parser, is_done, accept_part, wait_unless_exceeded);
    if (exceeded)
        co_return make_error_code(http::error::body_limit);
    co_return error;
}

} // namespace kumquatloom::log_service

#endif
