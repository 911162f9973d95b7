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

/// Requests that an upstream works on and keeps waiting, as on the platform.
constexpr unsigned slots = 4;
constexpr unsigned queue_places = 16;
/// Bounds of the time for a request, and its factor while slow.
constexpr auto least_work = 5ms;
constexpr auto most_work = 80ms;
constexpr int slow_factor = 15;
/// Time of a request that hangs; every caller gives up before.
constexpr auto hang_time = 60s;
/// When the second answer of "extra_late" follows.
constexpr auto extra_after = 150ms;
/// Largest body of an answer.
constexpr std::size_t max_body_bytes = 4000;
constexpr std::string_view garbage_bytes = "\x01\x02no answer\r\n\r\n";

std::string_view as_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<std::chrono::milliseconds>
deadline_of(http_request const& request)
{
    auto const text = as_view(request["Deadline-Ms"]);
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

/// Waits until the peer has closed its end.
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

void soak_upstream::fall_sick(sickness kind, double share)
{
    if (kind != sickness::none && sickness_ == sickness::none)
        trouble_.begin();
    if (kind == sickness::none && sickness_ != sickness::none)
        trouble_.end();
    sickness_ = kind;
    sick_share_ = share;
}

void soak_upstream::crash()
{
    trouble_.begin();
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
    auto const place = peers_.begin();
    beast::flat_buffer buffer;
    while (!crashed_)
    {
        http_request request;
        auto const [error, size] =
            co_await http::async_read(peer, buffer, request, as_result);
        if (error)
            break;
        // The result stands alone: g++ 12 evaluates a co_await behind && also
        // if the left side is false.
        bool const more = co_await serve_one(peer, request);
        if (!more)
            break;
    }
    peers_.erase(place);
}

asio::awaitable<bool> soak_upstream::serve_one(socket& peer,
                                               http_request const& request)
{
    std::string const id(as_view(request["Request-Id"]));
    auto const deadline = deadline_of(request);
    auto const* const sent =
        ledger_.arrived(id,
                        {std::string(as_view(request.method_string())),
                         std::string(as_view(request.target())),
                         request.body(),
                         deadline},
                        self_.id);
    if (sent == nullptr)
        co_return co_await refuse(peer, id, 400);
    if (as_view(request["Expected-Instance"]) != self_.id)
        co_return co_await refuse(peer, id, 421);
    checks_.arrived(id, *sent, *this);
    auto const how = draw_sickness();
    if (how == sickness::reset)
    {
        reset(peer);
        co_return false;
    }
    if (how == sickness::shed || queued_ >= queue_places)
        co_return co_await refuse(peer, id, 503);
    auto const until = core::clock::now() + deadline.value_or(hang_time);
    bool const has_slot = co_await take_slot(peer, until);
    if (!has_slot)
        co_return co_await refuse(peer, id, 503);
    bool const more = co_await answer(peer, request, id, how);
    release_slot();
    co_return more;
}

asio::awaitable<bool> soak_upstream::take_slot(socket& peer,
                                               core::time_point until)
{
    ++queued_;
    bool left = false;
    while (busy_ >= slots && !left && core::clock::now() < until)
    {
        asio::steady_timer timeout(context_, until);
        auto const done =
            co_await (freed_.async_wait(as_result) ||
                      timeout.async_wait(as_result) || wait_for_close(peer));
        left = done.index() == 2;
    }
    --queued_;
    if (left || busy_ >= slots)
        co_return false;
    ++busy_;
    co_return true;
}

void soak_upstream::release_slot()
{
    --busy_;
    freed_.cancel();
}

asio::awaitable<bool> soak_upstream::work(socket& peer, sickness how)
{
    core::duration time = random_.between(least_work, most_work);
    if (how == sickness::slow)
        time *= slow_factor;
    if (how == sickness::hang)
        time = hang_time;
    asio::steady_timer timer(context_, time);
    auto const done =
        co_await (timer.async_wait(as_result) || wait_for_close(peer));
    co_return done.index() == 0 && !crashed_;
}

asio::awaitable<bool> soak_upstream::answer(socket& peer,
                                            http_request const& request,
                                            std::string const& id,
                                            sickness how)
{
    ++runs_;
    ledger_.ran(id, self_.id);
    bool const done = co_await work(peer, how);
    if (!done)
        co_return false;
    checks_.worked(id, *ledger_.find(id), *this);
    if (how == sickness::lose_answer)
    {
        reset(peer);
        co_return false;
    }
    bool const keep_alive = request.keep_alive() && !leaving_;
    auto const bytes = answer_bytes(id, keep_alive, how);
    auto const [error, size] =
        co_await asio::async_write(peer, asio::buffer(bytes), as_result);
    if (how == sickness::extra_late)
    {
        asio::steady_timer pause(context_, extra_after);
        co_await pause.async_wait(as_result);
        co_await asio::async_write(peer, asio::buffer(bytes), as_result);
    }
    co_return !error && how != sickness::cut && how != sickness::garbage &&
        keep_alive;
}

std::string soak_upstream::answer_bytes(std::string const& id,
                                        bool keep_alive,
                                        sickness how)
{
    if (how == sickness::garbage)
        return std::string(garbage_bytes);
    known_answer made;
    made.status = how == sickness::error ? 500 : 200;
    made.body = id + " by " + self_.id + " " +
                std::string(random_.below(max_body_bytes), 'x');
    made.signature = std::to_string(
        core::stable_hash(made.body + std::to_string(made.status)));
    http_response response(static_cast<http::status>(made.status), 11);
    response.set("Request-Id", id);
    response.set("Response-Signature", made.signature);
    response.body() = made.body;
    response.prepare_payload();
    response.keep_alive(keep_alive);
    std::ostringstream text;
    text << response;
    auto bytes = std::move(text).str();
    if (how == sickness::cut)
        bytes.resize(bytes.size() - 1 - random_.below(made.body.size()));
    if (how == sickness::extra)
        bytes += bytes;
    ledger_.made(id, std::move(made));
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

sickness soak_upstream::draw_sickness()
{
    return sickness_ != sickness::none && random_.chance(sick_share_)
               ? sickness_
               : sickness::none;
}

} // namespace kumquatloom::soak
