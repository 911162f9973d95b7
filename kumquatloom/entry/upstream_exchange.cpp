#include <kumquatloom/admission/credential_check.hpp>
#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/http_status.hpp>
#include <kumquatloom/entry/buffered_size.hpp>
#include <kumquatloom/entry/header_views.hpp>
#include <kumquatloom/entry/inbound_request.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/keep_alive_timeout.hpp>
#include <kumquatloom/entry/message_memory.hpp>
#include <kumquatloom/entry/request_logger.hpp>
#include <kumquatloom/entry/upstream_exchange.hpp>
#include <kumquatloom/entry/upstream_status.hpp>
#include <kumquatloom/log_service/read_message.hpp>
#include <kumquatloom/request/content_digest.hpp>
#include <kumquatloom/request/response_check.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/errc.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Maximum number of responses that are skipped before the response to the
/// request: responses to earlier requests and interim responses.
constexpr unsigned max_skipped_responses = 4;
/// Largest header of an upstream's response.
constexpr std::uint32_t response_header_limit = 64 * 1024;

/// Generates a globally unique request id: a random number for the process and
/// a sequence number for the attempt.
core::request_id next_request_id()
{
    static std::string const process = std::to_string(core::random_u64());
    static std::atomic<std::uint64_t> attempts{0};
    auto const number = attempts.fetch_add(1, std::memory_order_relaxed);
    return core::request_id(process + '-' + std::to_string(number));
}

/// Whether the parser rejected the response, as opposed to a connection error.
bool is_parse_error(error_code error)
{
    return error != http::error::end_of_stream &&
           error != http::error::partial_message &&
           error.category() ==
               make_error_code(http::error::end_of_stream).category();
}

/// The id that the upstream must echo.
core::request_id id_of(instance_state const& state,
                       inbound_request const& inbound)
{
    auto const& dialect = state.dialect;
    if (!dialect.keeps_request_id)
        return next_request_id();
    auto const sent =
        request::find_field(inbound.header().fields, dialect.request_id);
    return core::request_id(std::string(sent.value_or(std::string_view())));
}

/// Whether the response states the framing of a body.
bool states_framing(http_response const& response)
{
    return response.count(http::field::content_length) != 0 ||
           response.count(http::field::transfer_encoding) != 0;
}

/// Whether the response has a SHA-256 digest of its body.
bool has_digest(http_response const& response)
{
    auto const header = response["Content-Digest"];
    auto const digest = request::parse_content_digest(as_view(header));
    return digest && digest->sha256;
}

} // namespace

upstream_exchange::upstream_exchange(instance_state& state,
                                     task const& exchange_task)
    : state_(state)
    , task_(exchange_task)
    , id_(id_of(state, exchange_task.inbound))
{
}

asio::awaitable<exchange_result> upstream_exchange::run(upstream_pool& pool)
{
    state_.events.increment(entry_event::attempt_started);
    bool const repeatable =
        task_.attempts.repeat() == request::idempotency::idempotent;
    bool done = false;
    while (!done)
    {
        auto lease = co_await pool.acquire(
            task_.cancel,
            task_.until.at(),
            repeatable ? core::duration::max()
                       : state_.policy.max_idle_non_idempotent);
        // On a connection that has refused this request, the same refusal could
        // be written again and be taken for a new one. It is closed.
        done = !lease || !lease.value().connection().has_refused(id_);
        if (!lease)
            fail(lease.error());
        else if (done)
            co_await exchange(lease.value());
    }
    if (task_.cancel.requested())
        state_.events.increment(entry_event::exchange_cancelled);
    co_return std::move(result_);
}

asio::awaitable<void> upstream_exchange::exchange(upstream_pool::lease& lease)
{
    auto& connection = lease.connection();
    // Closing the connection cancels the request at the upstream.
    cancellation_callback on_cancel(
        [&connection]
        {
            connection.close();
        });
    task_.cancel.add_callback(on_cancel);
    bool const written = co_await write(connection);
    if (!written)
        co_return;
    bool reusable = true;
    for (unsigned skipped = 0;; ++skipped)
    {
        parser_type parser;
        bool const complete = co_await read(connection, parser);
        result_.latency = core::clock::now() - sent_at_ - memory_wait_;
        if (!complete)
            co_return;
        // The response belongs to an earlier request or is an interim one; the
        // response to this request may follow.
        if (skipped < max_skipped_responses && is_stray(parser.get()))
        {
            reusable = false;
            continue;
        }
        if (skipped < max_skipped_responses && is_interim(parser.get()))
        {
            // An interim response has no body. One that states its framing
            // leaves the start of the next response uncertain.
            reusable = reusable && !states_framing(parser.get());
            continue;
        }
        auto const keep_for = keep_alive_timeout(parser.get());
        if (!verify_response(parser))
            co_return;
        // A connection is reused only after a complete exchange without
        // leftover bytes and without responses to earlier requests.
        bool const keep_alive = parser.keep_alive();
        if (result_.status == exchange_status::refused &&
            state_.dialect.keeps_request_id)
            connection.record_refusal(id_);
        if (keep_alive && reusable && connection.can_record_refusal() &&
            connection.is_reusable())
            lease.return_connection(keep_for);
        else if (keep_alive && connection.can_record_refusal())
            state_.events.increment(entry_event::upstream_leftover);
        co_return;
    }
}

bool upstream_exchange::belongs_to_other_request(
    http_response const& response) const
{
    auto const id = response[state_.dialect.request_id];
    return state_.dialect.keeps_request_id && !id.empty() &&
           as_view(id) != id_.value();
}

void upstream_exchange::apply_status(http_response const& response)
{
    auto const status = parse_upstream_status(response, state_.dialect);
    auto& target = task_.target;
    // All responses on a connection come from the same process, so a departure
    // is believed even from a response to an earlier request.
    if (status.leaving && target.mark_leaving())
    {
        state_.events.increment(entry_event::upstream_left);
        log_upstream_left(target);
        if (state_.upstream_left)
            state_.upstream_left(target);
    }
    if (!status.retry_after || belongs_to_other_request(response))
        return;
    target.hold_until(core::clock::now() + *status.retry_after);
    state_.events.increment(entry_event::upstream_held);
    log_upstream_held(target, *status.retry_after);
    result_.asks_for_pause = true;
}

bool upstream_exchange::is_stray(http_response const& response)
{
    if (!belongs_to_other_request(response))
        return false;
    state_.events.increment(entry_event::upstream_stray);
    return true;
}

bool upstream_exchange::is_interim(http_response const& response)
{
    if (!core::is_interim_status(response.result_int()))
        return false;
    state_.events.increment(entry_event::upstream_interim);
    return true;
}

asio::awaitable<bool> upstream_exchange::write(upstream_connection& connection)
{
    auto const& request = task_.inbound.message;
    auto const head = request_head();
    std::array<asio::const_buffer, 2> const buffers{
        asio::buffer(head), asio::buffer(request.body())};
    connection.stream().expires_at(task_.until.at());
    // Read the time directly before the first byte is handed to the kernel,
    // because the process may have been paused since the attempt started.
    sent_at_ = core::clock::now();
    // The upstream may have announced its departure, or asked for a pause,
    // while this request waited for a connection.
    if (task_.target.is_leaving() || task_.target.is_held(sent_at_))
        co_return fail(exchange_status::withdrawn);
    // The key of the caller may have been removed in the meantime.
    auto const table = state_.gate.table();
    bool const is_authorised =
        !table || admission::is_credential_valid(task_.admitted, *table);
    if (!is_authorised || task_.cancel.requested() ||
        !task_.attempts.begin_write(task_.number, sent_at_))
        co_return fail(exchange_status::not_written);
    auto const [error, size] =
        co_await asio::async_write(connection.stream(), buffers, as_result);
    if (error)
        co_return fail(error);
    co_return true;
}

asio::awaitable<bool> upstream_exchange::read(upstream_connection& connection,
                                              parser_type& parser)
{
    auto const body_limit = state_.settings.upstreams.answer_limit_bytes;
    parser.header_limit(response_header_limit);
    parser.body_limit(body_limit);
    if (task_.inbound.message.method() == http::verb::head)
        parser.skip(true);
    if (result_.memory.bytes() == 0)
        result_.memory = memory_budget::reservation(state_.buffered_answers);
    auto const size = [&]
    {
        return buffered_size(connection.buffer(), parser);
    };
    auto const accept = [&]
    {
        return reserve(size());
    };
    auto const wait = [&]
    {
        return wait_for_memory(size());
    };
    auto error = co_await log_service::read_header(
        connection.stream(), connection.buffer(), parser, accept, wait);
    if (error)
        co_return fail(error);
    apply_status(parser.get());
    // A stated length is reserved before the body is read.
    bool reserved = accept();
    if (!reserved)
        reserved = co_await wait();
    if (!reserved)
        co_return fail(exchange_status::answer_too_large);
    error = co_await log_service::read_body(connection.stream(),
                                            connection.buffer(),
                                            parser,
                                            body_limit,
                                            accept,
                                            wait);
    if (error)
        co_return fail(error);
    result_.memory.shrink_to(buffered_size(connection.buffer(), parser));
    co_return true;
}

bool upstream_exchange::reserve(std::size_t bytes)
{
    return task_.memory == nullptr
               ? result_.memory.grow_to(bytes)
               : task_.memory->reserve(
                     message_memory::response, result_.memory, bytes);
}

asio::awaitable<bool> upstream_exchange::wait_for_memory(std::size_t bytes)
{
    if (task_.memory == nullptr)
        co_return false;
    auto const began = core::clock::now();
    auto const until = std::min<core::time_point>(
        task_.until.at(), began + state_.settings.callers.memory_wait);
    bool const reserved = co_await task_.memory->wait(
        message_memory::response, result_.memory, bytes, until, task_.cancel);
    memory_wait_ += core::clock::now() - began;
    co_return reserved;
}

bool upstream_exchange::verify_response(parser_type& parser)
{
    if (task_.until.passed(core::clock::now()))
    {
        state_.events.increment(entry_event::late_answer);
        return fail(exchange_status::timeout);
    }
    auto& response = parser.get();
    // The last chunk delimits a body as reliably as Content-Length. A body that
    // is delimited by the end of the connection counts as complete only if the
    // response has a digest, which is verified below, or the signature field.
    bool const is_signed = !state_.dialect.signature.empty() &&
                           response.count(state_.dialect.signature) != 0;
    bool const is_delimited =
        parser.chunked() || has_digest(response) || is_signed;
    if (!parser.content_length() && is_delimited)
    {
        response.erase(http::field::transfer_encoding);
        response.set(http::field::content_length,
                     std::to_string(response.body().size()));
    }
    auto const fields = header_views(response);
    auto const verdict = request::check_response(
        {task_.inbound.message.method() == http::verb::head,
         response.result_int(),
         fields,
         response.body()},
        id_,
        state_.dialect);
    state_.verdicts.increment(verdict);
    if (verdict == request::response_verdict::refused)
        result_.status = exchange_status::refused;
    else if (verdict != request::response_verdict::verified)
        return fail(exchange_status::wrong_answer);
    else
        result_.status = exchange_status::answered;
    result_.response = parser.release();
    return true;
}

bool upstream_exchange::fail(exchange_status status)
{
    result_.status =
        task_.cancel.requested() ? exchange_status::cancelled : status;
    return false;
}

bool upstream_exchange::fail(error_code error)
{
    if (error == beast::error::timeout)
        return fail(exchange_status::timeout);
    if (error == http::error::body_limit ||
        error == boost::system::errc::not_enough_memory)
        return fail(exchange_status::answer_too_large);
    return fail(is_parse_error(error) ? exchange_status::wrong_answer
                                      : exchange_status::cut_short);
}

std::string upstream_exchange::request_head() const
{
    auto const& request = task_.inbound.message;
    auto const& dialect = state_.dialect;
    std::string head(request.method_string());
    head.append(" ").append(request.target()).append(" HTTP/1.1\r\n");
    for (auto const& field :
         admission::fields_for_upstream(task_.inbound.header().fields,
                                        dialect,
                                        task_.admitted.table->access()))
        if (!request::same_name(field.name, "Content-Length"))
            append_header(field.name, field.value, head);
    append_header(dialect.request_id, id_.value(), head);
    auto const& organisation = task_.admitted.organisation.value();
    if (!dialect.organisation.empty() && !organisation.empty())
        append_header(dialect.organisation, organisation, head);
    if (!dialect.expected_upstream.empty())
        append_header(dialect.expected_upstream,
                      task_.target.endpoint().id.value(),
                      head);
    auto const left = task_.until.remaining_ms(core::clock::now());
    append_header(dialect.deadline, std::to_string(left.count()), head);
    // Methods that usually have a body send Content-Length even if it is 0.
    bool const states_length = !request.body().empty() ||
                               request.method() == http::verb::post ||
                               request.method() == http::verb::put ||
                               request.method() == http::verb::patch;
    if (states_length)
        append_header(
            "Content-Length", std::to_string(request.body().size()), head);
    head += "\r\n";
    return head;
}

} // namespace kumquatloom::entry
