#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/buffered_size.hpp>
#include <kumquatloom/entry/caller_session.hpp>
#include <kumquatloom/entry/folded_line.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/message_memory.hpp>
#include <kumquatloom/entry/proxy_handler.hpp>
#include <kumquatloom/entry/read_ahead_state.hpp>
#include <kumquatloom/limits/pipeline_window.hpp>
#include <kumquatloom/log_service/read_message.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/errc.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <linux/sockios.h>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Size of one read while waiting for a request or reading its header.
constexpr std::size_t read_size = 4096;
/// Longest chunk extensions that are accepted.
constexpr std::size_t max_chunk_extensions = 1024;

using admission::refusal_reason;

refusal_reason refusal_reason_of(error_code error)
{
    if (error == http::error::body_limit)
        return refusal_reason::body_too_large;
    if (error == http::error::header_limit)
        return refusal_reason::header_too_large;
    if (error == boost::system::errc::not_enough_memory)
        return refusal_reason::memory_exhausted;
    return refusal_reason::malformed_request;
}

/// Whether the request was rejected, as opposed to a connection error.
bool is_rejection(error_code error)
{
    if (error == boost::system::errc::not_enough_memory)
        return true;
    return error != http::error::end_of_stream &&
           error != http::error::partial_message &&
           error.category() ==
               make_error_code(http::error::end_of_stream).category();
}

/// Memory of a request that runs ahead, besides its message: the frames of its
/// coroutines and its state.
constexpr std::size_t pipelined_request_bytes = 8 * 1024;
/// Interval of the checks for a disconnect while reading is suspended, which
/// bounds the time until the requests of a caller that has left are cancelled.
constexpr std::chrono::milliseconds connection_check_interval{100};

request::idempotency kind_of(inbound_request const& inbound)
{
    return inbound.admitted && allows_others(*inbound.admitted)
               ? request::idempotency::idempotent
               : request::idempotency::not_idempotent;
}

/// Bytes that a transfer at this rate moves in a time.
std::size_t bytes_in(core::duration time, std::size_t bytes_per_s)
{
    return static_cast<std::size_t>(
        static_cast<double>(bytes_per_s) *
        std::chrono::duration<double>(time).count());
}

/// Written bytes that the other side has not acknowledged.
std::size_t unacknowledged_bytes(tcp::socket& socket)
{
    int bytes = 0;
    bool const known = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return known ? static_cast<std::size_t>(bytes) : 0;
}

std::optional<std::uint64_t>
content_length(http::request_parser<http::string_body> const& parser)
{
    if (!parser.content_length())
        return std::nullopt;
    return *parser.content_length();
}

} // namespace

caller_session::caller_session(tcp::socket socket,
                               instance_state& state,
                               proxy_handler& handler)
    : stream_(std::move(socket))
    , state_(state)
    , handler_(handler)
    , pipeline_(state.settings.callers.pipelined_bytes)
{
    enter(limits::connection_phase::idle);
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    // Disconnect detection peeks at the socket and must not block.
    stream_.socket().non_blocking(true, ignored);
}

caller_session::~caller_session()
{
    state_.caller_connections.fetch_sub(1);
}

/// Drops the pipelined requests when the session's coroutine ends, also by an
/// exception.
class caller_session::run_scope
{
public:
    explicit run_scope(caller_session& session)
        : session_(session)
    {
    }

    ~run_scope()
    {
        session_.current_ = nullptr;
        session_.drop_pipelined();
    }

    run_scope(run_scope const&) = delete;
    run_scope& operator=(run_scope const&) = delete;

private:
    caller_session& session_;
};

asio::awaitable<void>
caller_session::run(boost::intrusive_ptr<caller_session> self)
{
    run_scope const scope(*self);
    bool keep_open = true;
    while (keep_open)
        keep_open = co_await self->serve_request();
    self->drop_pipelined();
    self->memory_ = memory_budget::reservation();
    // What was received and not parsed is discarded.
    self->buffer_.clear();
    self->buffer_.shrink_to_fit();
    self->enter(limits::connection_phase::writing);
    co_await self->close();
}

void caller_session::finish()
{
    finishing_ = true;
    // A request that has arrived is still served. If the read has completed but
    // its handler has not run yet, cancel() has no effect on it.
    if (idle_ && !has_unread_data())
        stream_.cancel();
}

void caller_session::stop_request()
{
    auto const stop = [](inbound_request& inbound)
    {
        inbound.is_stopped = true;
        inbound.disconnect.request();
    };
    if (current_ != nullptr)
        stop(*current_);
    if (awaited_ != nullptr && !awaited_->is_done)
        stop(awaited_->inbound);
    if (ahead_)
        for (auto const& item : ahead_->requests)
            if (item->in_flight && !item->is_done)
                stop(item->inbound);
}

void caller_session::abort()
{
    closed_.request();
    error_code ignored;
    stream_.socket().close(ignored);
}

void caller_session::displace()
{
    memory_ = memory_budget::reservation();
    connection_memory_ = memory_budget::reservation();
    enter(limits::connection_phase::executing);
    abort();
}

void caller_session::refuse_for_memory()
{
    memory_ = memory_budget::reservation();
    if (answered_ != nullptr)
        answered_->response_memory = memory_budget::reservation();
    bool const is_reading =
        activity_.phase == limits::connection_phase::reading;
    enter(limits::connection_phase::executing);
    is_shed_ = is_reading;
    if (is_reading)
        stream_.cancel();
    else
        abort();
}

void caller_session::enter(limits::connection_phase phase)
{
    activity_.phase = phase;
    activity_.progressed_at = core::clock::now();
    activity_.request_bytes = 0;
    activity_.response_bytes = 0;
}

limits::connection_activity const& caller_session::activity()
{
    if (write_progress_)
        record_written();
    return activity_;
}

asio::awaitable<bool> caller_session::serve_request()
{
    if (ahead_ && !ahead_->requests.empty())
        co_return co_await serve_pipelined();
    end_watch();
    bool const is_pipelined = buffer_.size() != 0 || has_unread_request_ ||
                              (ahead_ && ahead_->parser);
    has_unread_request_ = false;
    bool const arrived = co_await wait_for_request();
    if (!arrived)
        co_return false;
    enter(limits::connection_phase::reading);
    // A request that was read ahead in part is continued.
    auto const partial =
        ahead_ ? std::move(ahead_->parser) : std::unique_ptr<parser_type>();
    parser_type fresh;
    auto& parser = partial ? *partial : fresh;
    memory_ = partial ? std::move(ahead_->memory)
                      : memory_budget::reservation(state_.buffered_requests);
    if (partial && ahead_->failure)
    {
        co_await refuse(ahead_->failure, parser);
        co_return false;
    }
    if (ahead_)
        ahead_->is_deferred = false;
    bool const complete = co_await read_request(parser);
    if (!complete)
        co_return false;
    bool const keep_alive = parser.keep_alive();
    auto const length = content_length(parser);
    inbound_request current(parser.release(), length, core::clock::now());
    current.connection = is_pipelined ? &turn_ : nullptr;
    pipeline_.add(0, !keep_alive);
    bool const keep_open = co_await respond(current, keep_alive, nullptr);
    pipeline_.remove_front(0);
    co_return keep_open;
}

asio::awaitable<bool> caller_session::serve_pipelined()
{
    boost::intrusive_ptr<pipelined_request> const item =
        ahead_->requests.front();
    ahead_->requests.pop_front();
    if (!item->in_flight)
        item->inbound.behind_others =
            core::clock::now() - item->inbound.received_at;
    bool const keep_open =
        co_await respond(item->inbound,
                         item->keep_alive,
                         item->in_flight ? item.get() : nullptr);
    pipeline_.remove_front(item->bytes);
    co_return keep_open;
}

asio::awaitable<bool> caller_session::wait_for_request()
{
    idle_ = buffer_.size() == 0 && !(ahead_ && ahead_->parser);
    if (!idle_)
        co_return true;
    ahead_.reset();
    if (finishing_ && !has_unread_data())
        co_return false;
    memory_ = memory_budget::reservation();
    enter(limits::connection_phase::idle);
    buffer_.release_excess();
    stream_.expires_after(limits().idle_timeout);
    auto const [error, size] =
        co_await stream_.async_read_some(buffer_.prepare(read_size), as_result);
    buffer_.commit(size);
    idle_ = false;
    co_return !error;
}

bool caller_session::has_unread_data()
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
    // Chunk extensions are ignored, and the parser doesn't bound their size.
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
    // A stated length is reserved before the body is read, so that a request
    // that has begun is not refused later.
    bool reserved = false;
    if (!error)
        reserved = co_await reserve_body(parser);
    if (!error && !reserved)
        error = make_error_code(boost::system::errc::not_enough_memory);
    limits::transfer_progress progress(
        bytes_in(bounds.header_timeout, state_.settings.callers.min_body_rate),
        bounds.header_timeout,
        core::clock::now());
    // Called before each read of the body.
    auto const reserve = [&]
    {
        progress.record(parser.get().body().size(), core::clock::now());
        activity_.progressed_at = progress.progressed_at();
        stream_.expires_at(progress.deadline());
        return reserve_memory(parser);
    };
    if (!error)
    {
        stream_.expires_at(progress.deadline());
        bool const connected = co_await send_continue(parser);
        if (!connected)
            co_return false;
        error = co_await log_service::read_body(
            stream_, buffer_, parser, bounds.body_bytes, reserve);
    }
    if (is_shed_)
        error = make_error_code(boost::system::errc::not_enough_memory);
    if (error == boost::system::errc::not_enough_memory)
    {
        // The caller may read the response only after it has sent its body.
        linger_bytes_ = bounds.body_bytes;
        linger_time_ = bounds.header_timeout;
    }
    if (error)
        co_await refuse(error, parser);
    co_return !error;
}

asio::awaitable<error_code> caller_session::read_header(parser_type& parser)
{
    while (!parser.is_header_done())
    {
        auto const parse_error = parse_header(parser);
        if (parse_error != http::error::need_more)
            co_return parse_error;
        if (!reserve_memory(parser))
            co_return make_error_code(boost::system::errc::not_enough_memory);
        auto const [error, size] = co_await stream_.async_read_some(
            buffer_.prepare(read_size), as_result);
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

error_code caller_session::parse_header(parser_type& parser)
{
    parser.eager(false);
    auto const received = buffer_.data();
    std::string_view const bytes(static_cast<char const*>(received.data()),
                                 received.size());
    if (has_folded_line(bytes))
        return http::error::bad_value;
    if (!bytes.empty())
    {
        error_code error;
        buffer_.consume(parser.put(received, error));
        if (error && error != http::error::need_more)
            return error;
        if (parser.is_header_done())
            return {};
    }
    if (buffer_.size() + read_size > buffer_.max_size())
        return http::error::header_limit;
    return http::error::need_more;
}

bool caller_session::reserve_memory(parser_type const& parser)
{
    if (is_shed_)
        return false;
    auto const bytes = buffered_size(buffer_, parser);
    bool const reserved =
        messages_ == nullptr
            ? memory_.grow_to(bytes)
            : messages_->reserve(message_memory::request, memory_, bytes, this);
    activity_.request_bytes = memory_.bytes();
    return reserved;
}

asio::awaitable<bool> caller_session::reserve_body(parser_type const& parser)
{
    bool reserved = reserve_memory(parser);
    // A body of unknown size would hold its first part while it waits for
    // memory for the rest.
    if (reserved || is_shed_ || messages_ == nullptr ||
        !parser.content_length())
        co_return reserved;
    // The caller is not to blame for this wait.
    activity_.request_bytes = 0;
    reserved = co_await messages_->wait(message_memory::request,
                                        memory_,
                                        buffered_size(buffer_, parser),
                                        memory_wait_end(parser),
                                        closed_);
    activity_.progressed_at = core::clock::now();
    activity_.request_bytes = memory_.bytes();
    co_return reserved;
}

core::time_point
caller_session::memory_wait_end(parser_type const& parser) const
{
    auto const now = core::clock::now();
    // Much less than the time that the caller has, of which the request and
    // another attempt after a refusal need their parts.
    constexpr int deadline_divisor = 8;
    inbound_request const header(
        http_request(parser.get().base()), content_length(parser), now);
    auto const admitted = state_.gate.decide(header.header(), now, 0);
    if (!admitted)
        return now;
    return now +
           std::min<core::duration>(
               {state_.settings.callers.memory_wait,
                limits().header_timeout,
                admitted.value().deadline.remaining(now) / deadline_divisor});
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

asio::awaitable<bool> caller_session::send_continue(parser_type& parser)
{
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_return true;
    constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    auto const [error, size] =
        co_await asio::async_write(stream_, asio::buffer(line), as_result);
    co_return !error;
}

asio::awaitable<bool> caller_session::respond(inbound_request& current,
                                              bool keep_alive,
                                              pipelined_request* ahead)
{
    activity_.has_served = true;
    enter(limits::connection_phase::executing);
    std::optional<in_flight_scope> counted;
    http_response response;
    if (ahead != nullptr)
    {
        awaited_ = ahead;
        continue_ahead();
        while (!ahead->is_done)
        {
            ahead->finished.expires_at(core::time_point::max());
            co_await ahead->finished.async_wait(as_result);
        }
        awaited_ = nullptr;
        if (!ahead->response)
            co_return false;
        response = std::move(*ahead->response);
    }
    else
    {
        counted.emplace(state_);
        current_ = &current;
        pipeline_.start(request::idempotency::not_idempotent);
        if (caller_left_)
            current.disconnect.request();
        // Requests behind this one follow when it has started.
        if (buffer_.size() != 0 || pipeline_.waiting() != 0)
            continue_soon();
        else if (!is_watching_)
            watch();
        response = co_await handler_.handle(current);
        pipeline_.front_is(kind_of(current));
        current_ = nullptr;
    }
    // Ends the disconnect detection, unless requests behind this one run.
    if (pipeline_.size() == 1)
        end_watch();
    if (current.disconnect.requested() && !current.is_stopped)
        co_return false;
    // Content-Length keeps the size of the body that GET would return.
    if (current.message.method() == http::verb::head)
        response.body().clear();
    // After a request with ambiguous framing the start of the next request is
    // unknown.
    bool const keep_open = co_await write_answer(
        current, response, keep_alive && !current.has_ambiguous_framing);
    auto const total = core::clock::now() - current.received_at;
    state_.request_latency.record(total);
    // The wait of a pipelined response for earlier ones is not the proxy's.
    if (current.attempt_time != core::duration::zero() && ahead == nullptr)
        state_.added_latency.record(total - current.behind_others -
                                    current.attempt_time);
    co_return keep_open;
}

asio::awaitable<bool> caller_session::write_answer(inbound_request& current,
                                                   http_response& response,
                                                   bool keep_alive)
{
    enter(limits::connection_phase::writing);
    activity_.request_bytes = memory_.bytes();
    activity_.response_bytes = current.response_memory.bytes();
    answered_ = &current;
    // A caller that reads at the minimum rate progresses in each part of the
    // time after which a connection without progress may be closed.
    auto const step_time = limits::shedding_settings().min_stall;
    write_progress_.emplace(
        bytes_in(step_time, state_.settings.callers.min_body_rate),
        step_time,
        activity_.progressed_at);
    bool const keep_open = co_await write(response, keep_alive);
    write_progress_.reset();
    answered_ = nullptr;
    co_return keep_open;
}

void caller_session::record_written()
{
    // Bytes of an earlier response may still be unacknowledged.
    auto const pending = unacknowledged_bytes(stream_.socket());
    write_progress_->record(written_bytes_ - std::min(written_bytes_, pending),
                            core::clock::now());
    activity_.progressed_at = write_progress_->progressed_at();
}

asio::awaitable<bool> caller_session::write(http_response& response,
                                            bool keep_alive)
{
    // A draining instance closes connections, so that callers reconnect to
    // other instances, and so does one with few connections left. Requests that
    // have started are answered before.
    bool const is_closing = is_ending() || state_.has_scarce_connections();
    bool const keep_open =
        keep_alive && (pipeline_.started() > 1 || !is_closing);
    response.keep_alive(keep_open);
    stream_.expires_after(limits().idle_timeout);
    http::response_serializer<http::string_body> serializer(response);
    error_code failure;
    written_bytes_ = 0;
    while (!failure && !serializer.is_done())
    {
        auto const [error, size] =
            co_await http::async_write_some(stream_, serializer, as_result);
        failure = error;
        written_bytes_ += size;
        // Most responses fit into one write and need no measurement.
        if (write_progress_ && !serializer.is_done())
            record_written();
    }
    co_return !failure && keep_open;
}

asio::awaitable<void> caller_session::refuse(error_code error,
                                             parser_type const& parser)
{
    // On a timeout the stream has closed the socket, and no response can be
    // sent.
    if (error == beast::error::timeout)
        state_.events.increment(entry_event::caller_too_slow);
    if (!is_rejection(error))
        co_return;
    auto const& ticket = state_.dialect.ticket;
    bool const has_ticket = !ticket.empty() && parser.get().count(ticket) != 0;
    auto const reason = refusal_reason_of(error);
    core::log_info("request_not_read",
                   {{"reason", to_string(reason)},
                    {"status", admission::http_status(reason)},
                    {"target", as_view(parser.get().target())},
                    {"buffered_bytes", state_.buffered_requests.used()}});
    auto response =
        handler_.refuse(reason,
                        has_ticket ? admission::ticket_presence::present
                                   : admission::ticket_presence::absent);
    co_await write(response, false);
}

asio::awaitable<void> caller_session::close()
{
    error_code error;
    stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    stream_.expires_after(linger_time_);
    std::array<char, 4096> rest;
    std::size_t total = 0;
    while (!error && total < linger_bytes_)
    {
        auto const [read_error, size] =
            co_await stream_.async_read_some(asio::buffer(rest), as_result);
        error = read_error;
        total += size;
    }
    stream_.close();
}

bool caller_session::is_ending() const
{
    return finishing_ || state_.leaving.load(std::memory_order_relaxed);
}

std::size_t caller_session::window() const
{
    if (is_ending())
        return 1;
    auto const& callers = state_.settings.callers;
    std::array<limits::resource_use, 3> const resources{
        {{state_.requests_in_flight.load(std::memory_order_relaxed),
          callers.connections},
         {state_.buffered_requests.used(), state_.buffered_requests.limit()},
         {state_.buffered_answers.used(), state_.buffered_answers.limit()}}};
    return limits::pipeline_window(callers.pipelined_requests, resources);
}

bool caller_session::may_read_ahead() const
{
    return !caller_left_ &&
           !(ahead_ && (ahead_->is_deferred || ahead_->failure)) &&
           pipeline_.may_read(window());
}

read_ahead_state& caller_session::ahead()
{
    if (!ahead_)
        ahead_ = std::make_unique<read_ahead_state>(stream_.get_executor());
    return *ahead_;
}

void caller_session::watch()
{
    is_watching_ = true;
    boost::intrusive_ptr<caller_session> self(this);
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self, id = watch_id_](error_code error)
                                {
                                    if (error || self->watch_id_ != id)
                                        return;
                                    self->is_watching_ = false;
                                    self->on_readable();
                                });
}

void caller_session::end_watch()
{
    ++watch_id_;
    if (is_watching_)
    {
        error_code ignored;
        stream_.socket().cancel(ignored);
    }
    is_watching_ = false;
    if (ahead_)
        ahead_->check_timer.cancel();
}

void caller_session::on_readable()
{
    if (!may_read_ahead())
    {
        has_unread_request_ = true;
        check_connection();
        return;
    }
    error_code error;
    auto const size =
        stream_.socket().read_some(buffer_.prepare(read_size), error);
    buffer_.commit(size);
    if (error == asio::error::would_block)
        watch();
    else if (error)
        on_disconnect();
    else
        continue_ahead();
}

void caller_session::continue_soon()
{
    boost::intrusive_ptr<caller_session> self(this);
    asio::post(stream_.get_executor(),
               [self, id = watch_id_]
               {
                   if (self->watch_id_ == id)
                       self->continue_ahead();
               });
}

void caller_session::continue_ahead()
{
    if (caller_left_)
        return;
    parse_ahead();
    bool const is_held_back = start_ahead();
    if (!is_watching_ && may_read_ahead())
        watch();
    if (!is_watching_ || is_held_back)
        check_later();
}

void caller_session::parse_ahead()
{
    while (buffer_.size() != 0 && may_read_ahead())
    {
        auto& state = ahead();
        if (!state.parser)
        {
            auto const bounds = limits();
            state.parser = std::make_unique<parser_type>();
            state.parser->header_limit(
                static_cast<std::uint32_t>(bounds.header_bytes));
            state.parser->body_limit(bounds.body_bytes);
            state.memory = memory_budget::reservation(state_.buffered_requests);
            state.received = 0;
        }
        auto const before = buffer_.size();
        auto const error = parse_part(*state.parser);
        state.received += before - buffer_.size();
        if (state.is_deferred || error == http::error::need_more)
            return;
        if (error)
            state.failure = error;
        else
            add_request(*state.parser);
    }
}

error_code caller_session::parse_part(parser_type& parser)
{
    auto& state = ahead();
    auto const max_bytes = state_.settings.callers.pipelined_bytes;
    // Without memory to spare the request is read when it is in front.
    state.is_deferred = !state.memory.grow_to(buffered_size(buffer_, parser) +
                                              pipelined_request_bytes);
    if (state.is_deferred)
        return {};
    if (!parser.is_header_done())
    {
        auto const error = parse_header(parser);
        if (error)
            return error;
        // A body that is large or of unknown size, or that the caller sends
        // only on demand, is read when the request is in front.
        state.is_deferred = parser.chunked() ||
                            parser.get().count(http::field::expect) != 0 ||
                            content_length(parser).value_or(0) > max_bytes;
        if (!state.is_deferred)
            state.is_deferred = !state.memory.grow_to(
                buffered_size(buffer_, parser) + pipelined_request_bytes);
        if (state.is_deferred)
            return {};
    }
    parser.eager(true);
    error_code error;
    while (!parser.is_done() && buffer_.size() != 0 && !error)
        buffer_.consume(parser.put(buffer_.data(), error));
    if (!error && !parser.is_done())
        error = http::error::need_more;
    return parser.is_done() ? error_code() : error;
}

void caller_session::add_request(parser_type& parser)
{
    auto& state = ahead();
    bool const keep_alive = parser.keep_alive();
    auto const length = content_length(parser);
    boost::intrusive_ptr<pipelined_request> const item(new pipelined_request(
        stream_.get_executor(), parser.release(), length, keep_alive));
    // The parsed message takes about as many bytes as were received. The
    // connection's own bound holds even if the budget can't cover them.
    item->bytes = state.received + pipelined_request_bytes;
    state.memory.grow_to(item->bytes);
    item->memory = std::move(state.memory);
    item->inbound.connection = &turn_;
    state.requests.push_back(item);
    state.parser.reset();
    pipeline_.add(item->bytes, !keep_alive);
    state_.events.increment(entry_event::request_read_ahead);
}

/// Starts the requests that may start now. Returns whether another one could
/// start if the instance had more capacity.
bool caller_session::start_ahead()
{
    using request::start_decision;
    auto const& callers = state_.settings.callers;
    if (current_ != nullptr)
        pipeline_.front_is(kind_of(*current_));
    while (pipeline_.may_start_beside(window()) &&
           waiting_response_bytes() < callers.pipelined_bytes)
    {
        auto const item = ahead_->requests[pipeline_.started() - 1];
        auto const decision = handler_.admit_ahead(item->inbound);
        if (decision == start_decision::alone)
            pipeline_.hold_next();
        if (decision != start_decision::start)
            break;
        start_beside(item);
    }
    return pipeline_.may_start_beside(callers.pipelined_requests);
}

void caller_session::start_beside(
    boost::intrusive_ptr<pipelined_request> const& item)
{
    pipeline_.start(request::idempotency::idempotent);
    state_.events.increment(entry_event::request_started_beside);
    item->in_flight.emplace(state_);
    item->inbound.runs_ahead = true;
    item->inbound.behind_others =
        core::clock::now() - item->inbound.received_at;
    boost::intrusive_ptr<caller_session> const self(this);
    asio::co_spawn(stream_.get_executor(),
                   run_beside(self, item),
                   [item](std::exception_ptr const&)
                   {
                       // After std::bad_alloc there is no response.
                       item->finish();
                   });
}

asio::awaitable<void>
caller_session::run_beside(boost::intrusive_ptr<caller_session> self,
                           boost::intrusive_ptr<pipelined_request> item)
{
    auto& inbound = item->inbound;
    if (inbound.disconnect.requested() && !inbound.is_stopped)
        co_return;
    auto response = co_await self->handler_.handle(inbound);
    item->response.emplace(std::move(response));
}

std::size_t caller_session::waiting_response_bytes() const
{
    std::size_t sum = 0;
    if (ahead_)
        for (auto const& item : ahead_->requests)
            if (item->is_done)
                sum += item->inbound.response_memory.bytes();
    return sum;
}

void caller_session::check_later()
{
    boost::intrusive_ptr<caller_session> self(this);
    auto& timer = ahead().check_timer;
    timer.expires_after(connection_check_interval);
    timer.async_wait(
        [self, id = watch_id_](error_code error)
        {
            if (!error && self->watch_id_ == id)
                self->check_connection();
        });
}

void caller_session::check_connection()
{
    // A read would not show the end of the stream behind unread data.
    pollfd state{stream_.socket().native_handle(), POLLRDHUP, 0};
    bool const failed = ::poll(&state, 1, 0) < 0;
    if (failed || (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)))
        on_disconnect();
    else
        continue_ahead();
}

void caller_session::on_disconnect()
{
    caller_left_ = true;
    state_.events.increment(entry_event::caller_disconnected);
    if (current_ != nullptr)
        current_->disconnect.request();
    if (awaited_ != nullptr && !awaited_->is_done)
        awaited_->inbound.disconnect.request();
    if (!ahead_)
        return;
    for (auto const& item : ahead_->requests)
        if (item->in_flight && !item->is_done)
            item->inbound.disconnect.request();
}

void caller_session::drop_pipelined()
{
    end_watch();
    if (!ahead_)
        return;
    for (auto const& item : ahead_->requests)
    {
        state_.events.increment(entry_event::request_dropped);
        if (item->in_flight && !item->is_done)
            item->inbound.disconnect.request();
    }
    ahead_.reset();
}

} // namespace kumquatloom::entry
