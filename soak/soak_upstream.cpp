#include <kumquatloom/core/hashing.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <soak/soak_upstream.hpp>
#include <sstream>
#include <utility>

namespace kumquatloom::soak
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;
using namespace std::chrono_literals;
using stand_ins::http_request;
using stand_ins::http_response;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Slots and queue length of an upstream, as on the platform.
constexpr unsigned slots = 4;
constexpr unsigned queue_capacity = 16;
/// Bounds of the service time, and its factor for a slow request.
constexpr auto min_service_time = 5ms;
constexpr auto max_service_time = 80ms;
constexpr int slow_factor = 15;
/// Service time of a hanging request, and the maximum queueing time of a
/// request without a deadline; longer than every caller's timeout.
constexpr auto hang_service_time = 60s;
/// Delay of the second response of `extra_late`.
constexpr auto extra_response_delay = 150ms;
/// Exclusive upper bound of the padding in a response body.
constexpr std::size_t padding_limit_bytes = 4000;
constexpr std::string_view garbage_bytes = "\x01\x02no answer\r\n\r\n";

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<std::chrono::milliseconds>
deadline_of(http_request const& request)
{
    auto const text = to_string_view(request["Deadline-Ms"]);
    long value = 0;
    auto const read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc())
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Waits until the peer has closed the connection.
asio::awaitable<void> wait_for_close(tcp::socket& peer)
{
    while (peer.is_open())
    {
        auto const [error] =
            co_await peer.async_wait(tcp::socket::wait_read, as_result);
        char byte = 0;
        error_code failure;
        if (!error)
            peer.receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        if (error || failure)
            co_return;
    }
}

} // namespace

soak_upstream::soak_upstream(asio::io_context& context,
                             identity self,
                             std::string const& host,
                             request_ledger& ledger,
                             std::uint64_t seed,
                             checks given)
    : context_(context)
    , self_(std::move(self))
    , ledger_(ledger)
    , random_(seed)
    , checks_(std::move(given))
    , acceptor_(context, tcp::endpoint(asio::ip::make_address(host), 0))
    , freed_(context)
{
    freed_.expires_at(core::time_point::max());
    asio::co_spawn(context_, accept_connections(), asio::detached);
}

void soak_upstream::apply_fault(upstream_fault kind, double share)
{
    if (kind != upstream_fault::none && fault_ == upstream_fault::none)
        disturbance_.begin();
    if (kind == upstream_fault::none && fault_ != upstream_fault::none)
        disturbance_.end();
    fault_ = kind;
    faulty_share_ = share;
}

void soak_upstream::crash()
{
    disturbance_.begin();
    crashed_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (auto* const peer : peers_)
        reset(*peer);
}

void soak_upstream::leave()
{
    leaving_ = true;
}

settings::endpoint soak_upstream::address() const
{
    auto const local = acceptor_.local_endpoint();
    return {local.address().to_string(), local.port()};
}

asio::awaitable<void> soak_upstream::accept_connections()
{
    while (acceptor_.is_open())
    {
        auto [error, peer] = co_await acceptor_.async_accept(as_result);
        if (!error)
            asio::co_spawn(context_, serve(std::move(peer)), asio::detached);
    }
}

asio::awaitable<void> soak_upstream::serve(socket peer)
{
    error_code ignored;
    peer.set_option(tcp::no_delay(true), ignored);
    peer.non_blocking(true, ignored);
    peers_.push_front(&peer);
    auto const position = peers_.begin();
    beast::flat_buffer buffer;
    while (!crashed_)
    {
        http_request request;
        auto const [error, size] =
            co_await http::async_read(peer, buffer, request, as_result);
        if (error)
            break;
        // The awaited result is stored in a variable instead of being part of a
        // condition, because g++ 12 evaluates a co_await on the right of &&
        // even if the left side is false.
        bool const more = co_await serve_one(peer, request);
        if (!more)
            break;
    }
    peers_.erase(position);
}

asio::awaitable<bool> soak_upstream::serve_one(socket& peer,
                                               http_request const& request)
{
    std::string const id(to_string_view(request["Request-Id"]));
    auto const deadline = deadline_of(request);
    auto const* const sent = ledger_.record_arrival(
        id,
        {std::string(to_string_view(request.method_string())),
         std::string(to_string_view(request.target())),
         request.body(),
         deadline},
        self_.id);
    if (sent == nullptr)
        co_return co_await refuse(peer, id, 400);
    if (to_string_view(request["Expected-Instance"]) != self_.id)
        co_return co_await refuse(peer, id, 421);
    checks_.on_arrival(id, *sent, *this);
    auto const fault = draw_fault();
    if (fault == upstream_fault::reset)
    {
        reset(peer);
        co_return false;
    }
    if (fault == upstream_fault::shed || queued_ >= queue_capacity)
        co_return co_await refuse(peer, id, 503);
    auto const until =
        core::clock::now() + deadline.value_or(hang_service_time);
    bool const has_slot = co_await take_slot(peer, until);
    if (!has_slot)
        co_return co_await refuse(peer, id, 503);
    bool const more = co_await execute_and_respond(peer, request, id, fault);
    release_slot();
    co_return more;
}

asio::awaitable<bool> soak_upstream::take_slot(socket& peer,
                                               core::time_point until)
{
    ++queued_;
    bool disconnected = false;
    while (busy_ >= slots && !disconnected && core::clock::now() < until)
    {
        asio::steady_timer timeout(context_, until);
        auto const done =
            co_await (freed_.async_wait(as_result) ||
                      timeout.async_wait(as_result) || wait_for_close(peer));
        disconnected = done.index() == 2;
    }
    --queued_;
    if (disconnected || busy_ >= slots)
        co_return false;
    ++busy_;
    co_return true;
}

void soak_upstream::release_slot()
{
    --busy_;
    freed_.cancel();
}

asio::awaitable<bool> soak_upstream::execute(socket& peer, upstream_fault fault)
{
    core::duration service_time =
        random_.between(min_service_time, max_service_time);
    if (fault == upstream_fault::slow)
        service_time *= slow_factor;
    if (fault == upstream_fault::hang)
        service_time = hang_service_time;
    asio::steady_timer timer(context_, service_time);
    auto const done =
        co_await (timer.async_wait(as_result) || wait_for_close(peer));
    co_return done.index() == 0 && !crashed_;
}

asio::awaitable<bool>
soak_upstream::execute_and_respond(socket& peer,
                                   http_request const& request,
                                   std::string const& id,
                                   upstream_fault fault)
{
    ++executions_;
    ledger_.record_execution(id, self_.id);
    bool const done = co_await execute(peer, fault);
    if (!done)
        co_return false;
    checks_.on_completion(id, *ledger_.find(id), *this);
    if (fault == upstream_fault::lose_response)
    {
        reset(peer);
        co_return false;
    }
    bool const keep_alive = request.keep_alive() && !leaving_;
    auto const bytes = serialize_response(id, keep_alive, fault);
    auto const [error, size] =
        co_await asio::async_write(peer, asio::buffer(bytes), as_result);
    if (fault == upstream_fault::extra_late)
    {
        asio::steady_timer pause(context_, extra_response_delay);
        co_await pause.async_wait(as_result);
        co_await asio::async_write(peer, asio::buffer(bytes), as_result);
    }
    co_return !error && fault != upstream_fault::cut &&
        fault != upstream_fault::garbage && keep_alive;
}

std::string soak_upstream::serialize_response(std::string const& id,
                                              bool keep_alive,
                                              upstream_fault fault)
{
    if (fault == upstream_fault::garbage)
        return std::string(garbage_bytes);
    recorded_response sent;
    sent.status = fault == upstream_fault::error ? 500 : 200;
    sent.body = id + " by " + self_.id + " " +
                std::string(random_.below(padding_limit_bytes), 'x');
    sent.signature = std::to_string(
        core::stable_hash(sent.body + std::to_string(sent.status)));
    http_response response(static_cast<http::status>(sent.status), 11);
    response.set("Request-Id", id);
    response.set("Response-Signature", sent.signature);
    response.body() = sent.body;
    response.prepare_payload();
    response.keep_alive(keep_alive);
    std::ostringstream text;
    text << response;
    auto bytes = std::move(text).str();
    if (fault == upstream_fault::cut)
        bytes.resize(bytes.size() - 1 - random_.below(sent.body.size()));
    if (fault == upstream_fault::extra)
        bytes += bytes;
    ledger_.record_sent_response(id, std::move(sent));
    return bytes;
}

asio::awaitable<bool>
soak_upstream::refuse(socket& peer, std::string const& id, unsigned status)
{
    http_response response(static_cast<http::status>(status), 11);
    response.set("Request-Id", id);
    response.set("Not-Executed", "true");
    response.prepare_payload();
    auto const [error, size] =
        co_await http::async_write(peer, response, as_result);
    co_return !error;
}

upstream_fault soak_upstream::draw_fault()
{
    return fault_ != upstream_fault::none && random_.chance(faulty_share_)
               ? fault_
               : upstream_fault::none;
}

} // namespace kumquatloom::soak
