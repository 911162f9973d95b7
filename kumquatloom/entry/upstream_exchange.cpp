#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/entry/forwarded_headers.hpp>
#include <kumquatloom/entry/header_names.hpp>
#include <kumquatloom/entry/instance_state.hpp>
#include <kumquatloom/entry/upstream_exchange.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>

namespace kumquatloom::entry
{

namespace
{

/// Largest header of an upstream's answer.
constexpr std::uint32_t answer_header_limit = 64 * 1024;

/// A request id that no other process uses: a random part for the process
/// and a number for the attempt.
std::string next_request_id()
{
    static std::string const process = std::to_string(core::random_u64());
    static std::atomic<std::uint64_t> attempts{0};
    return process + '-' +
           std::to_string(attempts.fetch_add(1, std::memory_order_relaxed));
}

/// The digest of a Content-Digest header, or nothing if it has no SHA-256.
std::optional<std::string> sha256_of_header(std::string_view text)
{
    constexpr std::string_view start = "sha-256=:";
    auto const from = text.find(start);
    if (from == std::string_view::npos)
        return std::nullopt;
    auto const begin = from + start.size();
    auto const end = text.find(':', begin);
    if (end == std::string_view::npos)
        return std::string();
    return core::from_base64(text.substr(begin, end - begin))
        .value_or(std::string());
}

} // namespace

upstream_exchange::upstream_exchange(
    instance_state& state,
    call& owner,
    core::organisation_name const& organisation,
    core::time_point deadline)
    : state_(state)
    , call_(owner)
    , organisation_(organisation)
    , deadline_(deadline)
    , id_(next_request_id())
{
}

asio::awaitable<attempt> upstream_exchange::run(upstream_pool& pool)
{
    auto const start = core::clock::now();
    state_.events.increment(entry_event::attempt_started);
    auto lease = co_await pool.acquire(call_, deadline_);
    if (lease)
        co_await exchange(lease.value());
    else
        fail(lease.error());
    attempt_.latency = core::clock::now() - start;
    state_.attempt_latency.record(attempt_.latency);
    if (attempt_.cancelled)
        state_.events.increment(entry_event::exchange_cancelled);
    co_return std::move(attempt_);
}

asio::awaitable<void> upstream_exchange::exchange(upstream_pool::lease& lease)
{
    auto& connection = lease.connection();
    // Closing the connection cancels the request at the upstream.
    interruption on_cancel(
        [&connection]
        {
            connection.close();
        });
    call_.wait_for(on_cancel);
    bool const written = co_await write(connection);
    if (!written)
        co_return;
    parser_type parser;
    bool const complete = co_await read(connection, parser);
    if (!complete || !accept(parser))
        co_return;
    // A connection is kept only after a whole exchange without leftovers.
    if (parser.keep_alive() && connection.quiet())
        lease.give_back();
    else if (parser.keep_alive())
        state_.events.increment(entry_event::upstream_leftover);
}

asio::awaitable<bool> upstream_exchange::write(upstream_connection& connection)
{
    // The process may have been paused since the request was admitted.
    if (core::clock::now() >= deadline_)
        co_return fail(answer_reason::deadline_passed);
    if (call_.cancelled())
        co_return fail(answer_reason::connection_lost);
    auto const head = request_head();
    std::array<asio::const_buffer, 2> const buffers{
        asio::buffer(head), asio::buffer(call_.request.body())};
    connection.stream().expires_at(deadline_);
    auto const [error, size] =
        co_await asio::async_write(connection.stream(), buffers, as_result);
    // With one byte in the kernel the upstream may see all of a short request.
    if (size != 0)
        attempt_.sent = sent_state::written;
    if (error)
        co_return fail(read_failure(error));
    co_return true;
}

asio::awaitable<bool> upstream_exchange::read(upstream_connection& connection,
                                              parser_type& parser)
{
    parser.header_limit(answer_header_limit);
    parser.body_limit(state_.settings.upstreams.answer_limit_bytes);
    if (call_.request.method() == http::verb::head)
        parser.skip(true);
    auto const [error, size] = co_await http::async_read_header(
        connection.stream(), connection.buffer(), parser, as_result);
    if (error)
        co_return fail(read_failure(error));
    // Checked before the body is buffered: it may belong to another request.
    if (parser.get()[request_id_header] != id_)
        co_return fail(answer_reason::wrong_answer);
    co_return co_await read_body(connection, parser);
}

asio::awaitable<bool>
upstream_exchange::read_body(upstream_connection& connection,
                             parser_type& parser)
{
    attempt_.memory = memory_account::reservation(state_.buffered_answers);
    auto const length = parser.content_length();
    if (length && !parser.is_done() && !attempt_.memory.grow_to(*length))
        co_return fail(answer_reason::buffers_full);
    while (!parser.is_done())
    {
        auto const [error, size] = co_await http::async_read_some(
            connection.stream(), connection.buffer(), parser, as_result);
        if (error)
            co_return fail(read_failure(error));
        if (!attempt_.memory.grow_to(parser.get().body().capacity()))
            co_return fail(answer_reason::buffers_full);
    }
    co_return true;
}

bool upstream_exchange::accept(parser_type& parser)
{
    if (core::clock::now() >= deadline_)
    {
        state_.events.increment(entry_event::late_answer);
        return fail(answer_reason::late_answer);
    }
    bool const without_body = call_.request.method() == http::verb::head;
    auto& answer = parser.get();
    bool proven = parser.content_length().has_value() || parser.chunked() ||
                  !parser.need_eof() || without_body;
    auto const header = answer[digest_header];
    if (auto const digest = sha256_of_header({header.data(), header.size()});
        digest && !without_body)
    {
        if (*digest != core::as_bytes(core::sha256(answer.body())))
            return fail(answer_reason::wrong_answer);
        proven = true;
    }
    // A body that ends with the connection is complete only by its digest.
    if (!proven)
        return fail(answer_reason::connection_lost);
    auto const outcome = answer[outcome_header];
    if (answer.result() == http::status::service_unavailable &&
        outcome == "not-run")
    {
        attempt_.sent = sent_state::refused_by_upstream;
        fail(answer_reason::refused_by_upstream);
        return true;
    }
    attempt_.answer = parser.release();
    return true;
}

bool upstream_exchange::fail(answer_reason reason)
{
    attempt_.failure = reason;
    attempt_.cancelled = call_.cancelled();
    if (reason == answer_reason::wrong_answer)
        state_.events.increment(entry_event::wrong_answer);
    return false;
}

answer_reason upstream_exchange::read_failure(error_code error) const
{
    if (error == beast::error::timeout)
        return answer_reason::attempt_timeout;
    if (error == http::error::body_limit || error == http::error::header_limit)
        return answer_reason::answer_too_large;
    // Errors of the parser stand for text that is not an HTTP answer.
    if (error.category() ==
            make_error_code(http::error::end_of_stream).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message)
        return answer_reason::wrong_answer;
    return answer_reason::connection_lost;
}

std::string upstream_exchange::request_head() const
{
    auto const remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline_ - core::clock::now());
    auto const& request = call_.request;
    std::string head(request.method_string());
    head.append(" ").append(request.target()).append(" HTTP/1.1\r\n");
    append_forwarded_headers(request, head);
    append_header(request_id_header, id_, head);
    append_header(organisation_header, organisation_.value(), head);
    append_header(deadline_header,
                  std::to_string(std::max<std::int64_t>(remaining.count(), 1)),
                  head);
    if (!request.body().empty() || request.method() == http::verb::post ||
        request.method() == http::verb::put)
        append_header(
            "Content-Length", std::to_string(request.body().size()), head);
    head += "\r\n";
    return head;
}

} // namespace kumquatloom::entry
