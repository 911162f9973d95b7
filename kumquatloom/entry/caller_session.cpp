#include <kumquatloom/entry/caller_session.hpp>
#include <kumquatloom/entry/folded_line.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Bytes that are read at once while waiting for a request.
constexpr std::size_t first_read_size = 4096;
/// Bytes that are buffered before they are parsed: a large header, or the line
/// of a chunk.
constexpr std::size_t max_buffered_bytes = 128 * 1024;
/// Longest extensions of one chunk.
constexpr std::size_t max_chunk_extensions = 1024;
/// Time and bytes that a caller may use up after a refusal, so that it can
/// read the answer before the connection is reset.
constexpr std::chrono::seconds linger_time{1};
constexpr std::size_t linger_bytes = 256 * 1024;

using admission::refusal_reason;

refusal_reason reason_of(error_code error)
{
    if (error == http::error::body_limit)
        return refusal_reason::body_too_large;
    if (error == http::error::header_limit)
        return refusal_reason::header_too_large;
    return refusal_reason::malformed_request;
}

/// Whether the error is a fault of the request and not of the connection.
bool is_parse_error(error_code error)
{
    return error != http::error::end_of_stream &&
           error != http::error::partial_message &&
           error.category() ==
               make_error_code(http::error::end_of_stream).category();
}

/// Counts a request in flight for the time of its scope.
class in_flight_scope
{
public:
    explicit in_flight_scope(instance_state& state)
        : state_(state)
    {
        state_.requests_in_flight.fetch_add(1);
    }

    ~in_flight_scope()
    {
        state_.requests_in_flight.fetch_sub(1);
    }

    in_flight_scope(in_flight_scope const&) = delete;
    in_flight_scope& operator=(in_flight_scope const&) = delete;

private:
    /// Holds the number.
    instance_state& state_;
};

} // namespace

caller_session::caller_session(tcp::socket socket,
                               instance_state& state,
                               proxy_handler& handler)
    : stream_(std::move(socket))
    , buffer_(max_buffered_bytes)
    , state_(state)
    , handler_(handler)
{
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    // The watch for a disconnect must not block.
    stream_.socket().non_blocking(true, ignored);
}

caller_session::~caller_session()
{
    state_.caller_connections.fetch_sub(1);
}

asio::awaitable<void>
caller_session::run(boost::intrusive_ptr<caller_session> self)
{
    bool more = true;
    while (more)
        more = co_await self->serve_one();
    co_await self->close();
}

void caller_session::finish()
{
    finishing_ = true;
    // A request that has arrived is still served, also if the read of its
    // bytes has ended and the session has not been told yet: then nothing is
    // left to cancel.
    if (idle_ && !has_arrived())
        stream_.cancel();
}

void caller_session::abort()
{
    error_code ignored;
    stream_.socket().close(ignored);
}

asio::awaitable<bool> caller_session::serve_one()
{
    bool const arrived = co_await wait_for_request();
    if (!arrived)
        co_return false;
    parser_type parser;
    bool const complete = co_await read_request(parser);
    if (!complete)
        co_return false;
    co_return co_await answer(parser);
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    idle_ = buffer_.size() == 0;
    if (!idle_)
        co_return true;
    if (finishing_ && !has_arrived())
        co_return false;
    stream_.expires_after(limits().idle_timeout);
    auto const [error, size] = co_await stream_.async_read_some(
        buffer_.prepare(first_read_size), as_result);
    buffer_.commit(size);
    idle_ = false;
    co_return !error;
}

bool caller_session::has_arrived()
{
    error_code error;
    return stream_.socket().available(error) != 0 && !error;
}

asio::awaitable<bool> caller_session::read_request(parser_type& parser)
{
    auto const bounds = limits();
    parser.header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
    parser.body_limit(bounds.body_bytes);
    stream_.expires_after(bounds.header_timeout);
    // A chunk's extensions mean nothing here and could grow without bound.
    std::function<void(std::uint64_t, beast::string_view, error_code&)>
        bound_extensions = [](std::uint64_t,
                              beast::string_view extensions,
                              error_code& failure)
    {
        if (extensions.size() > max_chunk_extensions)
            failure = http::error::bad_chunk_extension;
    };
    parser.on_chunk_header(bound_extensions);
    auto error = co_await read_header(parser);
    if (!error)
    {
        bool const allowed = co_await allow_body(parser);
        if (!allowed)
            co_return false;
        stream_.expires_after(bounds.header_timeout);
        auto const [body_error, body_size] =
            co_await http::async_read(stream_, buffer_, parser, as_result);
        error = body_error;
    }
    if (error)
        co_await refuse(error, parser);
    co_return !error;
}

asio::awaitable<error_code> caller_session::read_header(parser_type& parser)
{
    parser.eager(false);
    while (!parser.is_header_done())
    {
        auto const received = buffer_.data();
        std::string_view const bytes(static_cast<char const*>(received.data()),
                                     received.size());
        if (has_folded_line(bytes))
            co_return http::error::bad_value;
        if (!bytes.empty())
        {
            error_code error;
            buffer_.consume(parser.put(received, error));
            if (error && error != http::error::need_more)
                co_return error;
            if (parser.is_header_done())
                break;
        }
        if (buffer_.size() + first_read_size > max_buffered_bytes)
            co_return http::error::header_limit;
        auto const [error, size] = co_await stream_.async_read_some(
            buffer_.prepare(first_read_size), as_result);
        buffer_.commit(size);
        if (error == asio::error::eof)
            co_return parser.got_some() || buffer_.size() != 0
                ? http::error::partial_message
                : http::error::end_of_stream;
        if (error)
            co_return error;
    }
    co_return error_code();
}

document::caller_limits caller_session::limits() const
{
    auto const document = state_.document.read();
    if (document && document->limits)
        return *document->limits;
    auto const& own = state_.settings.callers;
    return {own.header_limit_bytes,
            own.body_limit_bytes,
            own.header_timeout,
            own.idle_timeout};
}

asio::awaitable<bool> caller_session::allow_body(parser_type& parser)
{
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_return true;
    constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    auto const [error, size] =
        co_await asio::async_write(stream_, asio::buffer(line), as_result);
    co_return !error;
}

asio::awaitable<bool> caller_session::answer(parser_type& parser)
{
    state_.events.increment(entry_event::request_received);
    in_flight_scope const counted(state_);
    bool const keep_alive = parser.keep_alive();
    std::optional<std::uint64_t> length;
    if (parser.content_length())
        length = *parser.content_length();
    call current(parser.release(), length, core::clock::now());
    bool const without_body = current.request.method() == http::verb::head;
    watch_for_disconnect(current);
    auto response = co_await handler_.answer(current);
    current_ = nullptr;
    // Ends the wait for a disconnect.
    error_code ignored;
    stream_.socket().cancel(ignored);
    if (current.caller_left.requested())
        co_return false;
    // The length stays that of the body that GET would get.
    if (without_body)
        response.body().clear();
    // After a request that could be read in two ways nothing tells where the
    // next one begins.
    bool const more =
        co_await write(response, keep_alive && !current.is_ambiguous);
    auto const total = core::clock::now() - current.received;
    state_.request_latency.record(total);
    if (current.attempts != core::duration::zero())
        state_.added_latency.record(total - current.attempts);
    co_return more;
}

asio::awaitable<bool> caller_session::write(http_response& response,
                                            bool keep_alive)
{
    // A leaving instance sends its callers to other ones.
    bool const more = keep_alive && !finishing_ &&
                      !state_.leaving.load(std::memory_order_relaxed);
    response.keep_alive(more);
    stream_.expires_after(limits().idle_timeout);
    auto const [error, size] =
        co_await http::async_write(stream_, response, as_result);
    co_return !error && more;
}

asio::awaitable<void> caller_session::refuse(error_code error,
                                             parser_type const& parser)
{
    // The stream has closed the socket of a caller that is too slow.
    if (error == beast::error::timeout)
        state_.events.increment(entry_event::caller_too_slow);
    if (!is_parse_error(error))
        co_return;
    auto const& ticket = state_.dialect.ticket;
    bool const has_ticket = !ticket.empty() && parser.get().count(ticket) != 0;
    auto response =
        handler_.refuse(reason_of(error),
                        has_ticket ? admission::ticket_presence::present
                                   : admission::ticket_presence::absent);
    co_await write(response, false);
}

asio::awaitable<void> caller_session::close()
{
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.expires_after(linger_time);
    std::array<char, 4096> rest;
    std::size_t total = 0;
    while (!ignored && total < linger_bytes)
    {
        auto const [error, size] =
            co_await stream_.async_read_some(asio::buffer(rest), as_result);
        ignored = error;
        total += size;
    }
    stream_.close();
}

void caller_session::watch_for_disconnect(call& current)
{
    current_ = &current;
    boost::intrusive_ptr<caller_session> self(this);
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self, watched = &current](error_code error)
        {
            if (error || self->current_ != watched)
                return;
            char byte = 0;
            self->stream_.socket().receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            // Bytes of a next request wait until this one is answered.
            if (!error)
                return;
            if (error == asio::error::would_block)
            {
                self->watch_for_disconnect(*watched);
                return;
            }
            self->state_.events.increment(entry_event::caller_disconnected);
            watched->caller_left.request();
        });
}

} // namespace kumquatloom::entry
