#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <iterator>
#include <soak/soak_caller.hpp>
#include <soak/soak_instance.hpp>
#include <soak/soak_platform.hpp>
#include <stand_ins/http_caller.hpp>
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
using namespace std::chrono_literals;
using stand_ins::http_request;
using stand_ins::http_response;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Timeout of the platform's clients for a connection or a directory response,
/// and the time for which they cache such a response.
constexpr auto connect_timeout = 1000ms;
constexpr auto directory_cache_time = 1500ms;
constexpr unsigned directory_attempts = 3;
/// Longest pause between two requests, and bounds of a caller's timeout.
constexpr auto longest_pause = 120ms;
constexpr auto min_caller_timeout = 1000ms;
constexpr auto max_caller_timeout = 4000ms;
/// Timeout of the routes, and the time after it at which a response counts as
/// missing.
constexpr auto route_timeout = 3000ms;
constexpr auto response_tolerance = 500ms;
/// Maximum number of requests on one connection, and exclusive upper bound of
/// the body size without the request id at its end.
constexpr std::size_t max_requests = 30;
constexpr std::size_t max_body_bytes = 600;
/// Fraction of requests whose caller closes the connection before the response,
/// and fraction of request bodies with chunked encoding.
constexpr double disconnect_share = 0.03;
constexpr double chunked_share = 0.2;
constexpr unsigned status_success = 200;

std::string_view to_string_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

soak_caller::soak_caller(asio::io_context& context,
                         std::size_t number,
                         std::uint64_t seed,
                         soak_platform& platform,
                         std::vector<std::unique_ptr<soak_instance>>& instances,
                         request_ledger& ledger,
                         soak_checks& checks)
    : context_(context)
    , number_(number)
    , random_(seed)
    , platform_(platform)
    , instances_(instances)
    , ledger_(ledger)
    , checks_(checks)
{
}

asio::awaitable<void> soak_caller::run()
{
    while (!stopped_)
    {
        if (core::clock::now() >= resolved_until_)
            co_await query_directory();
        if (resolved_.empty())
        {
            co_await pause(longest_pause);
            continue;
        }
        co_await run_connection(resolved_.at(random_.below(resolved_.size())));
    }
}

soak_caller::counts soak_caller::take_counts()
{
    return std::exchange(counts_, {});
}

asio::awaitable<void> soak_caller::query_directory()
{
    for (unsigned i = 0; i < directory_attempts; ++i)
    {
        auto const& directory_instance =
            *instances_.at(random_.below(instances_.size()));
        auto const server = directory_instance.directory();
        auto const response = co_await stand_ins::call_once(
            server,
            stand_ins::make_request(http::verb::get,
                                    "/resolve?name=shop.example&region=west"),
            connect_timeout);
        error_code error;
        auto const body = response && response->result_int() == status_success
                              ? boost::json::parse(response->body(), error)
                              : boost::json::value();
        if (!body.is_object())
            continue;
        std::vector<std::size_t> named;
        for (auto const& address : body.at("addresses").as_array())
            for (std::size_t n = 0; n < instances_.size(); ++n)
                if (std::string_view(address.as_string())
                        .starts_with(instances_.at(n)->host() + ":"))
                    named.push_back(n);
        resolved_ = std::move(named);
        resolved_until_ = core::clock::now() + directory_cache_time;
        co_return;
    }
    // The previous addresses stay in use until a query succeeds.
    resolved_until_ = core::clock::now() + longest_pause;
}

asio::awaitable<bool> soak_caller::connect(beast::tcp_stream& stream,
                                           std::size_t instance)
{
    auto const& address = instances_.at(instance)->callers().address();
    stream.expires_after(connect_timeout);
    auto const [error] = co_await stream.async_connect(
        tcp::endpoint(asio::ip::make_address(address.host), address.port),
        as_result);
    error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return !error;
}

asio::awaitable<void> soak_caller::run_connection(std::size_t instance)
{
    beast::tcp_stream stream(context_);
    bool const connected = co_await connect(stream, instance);
    if (!connected)
    {
        std::erase(resolved_, instance);
        co_return;
    }
    beast::flat_buffer buffer;
    auto const requests = 1 + random_.below(max_requests);
    for (std::size_t i = 0; i < requests && !stopped_; ++i)
    {
        bool const more = co_await send_request(stream, buffer, instance);
        if (!more)
            co_return;
        co_await pause(random_.between(0ms, longest_pause));
        check_no_extra_bytes(stream, buffer);
    }
}

asio::awaitable<bool> soak_caller::send_request(beast::tcp_stream& stream,
                                                beast::flat_buffer& buffer,
                                                std::size_t instance)
{
    auto const deadline =
        random_.between(min_caller_timeout, max_caller_timeout);
    std::string id;
    auto request = next_request(instance, deadline, id);
    stream.expires_after(deadline + response_tolerance);
    auto const starts = instances_.at(instance)->process().starts();
    ++counts_.sent;
    auto const [error, size] =
        co_await http::async_write(stream, request, as_result);
    soak_checks::caller_view const view{
        id, instance, core::clock::now(), starts};
    if (error)
    {
        handle_disconnect(view);
        co_return false;
    }
    if (random_.chance(disconnect_share))
    {
        co_await pause(random_.between(0ms, longest_pause));
        ledger_.record_disconnect(id);
        co_return false;
    }
    co_return co_await read_response(stream, buffer, view, deadline);
}

asio::awaitable<bool>
soak_caller::read_response(beast::tcp_stream& stream,
                           beast::flat_buffer& buffer,
                           soak_checks::caller_view const& view,
                           std::chrono::milliseconds deadline)
{
    stream.expires_after(std::min(deadline, route_timeout) +
                         response_tolerance);
    http_response response;
    auto const [error, size] =
        co_await http::async_read(stream, buffer, response, as_result);
    if (error == beast::error::timeout)
    {
        checks_.on_timeout(view);
        co_return false;
    }
    if (error)
    {
        handle_disconnect(view);
        co_return false;
    }
    counts_.served += response.result_int() == status_success ? 1 : 0;
    checks_.on_response(
        view,
        {response.result_int(),
         std::string(to_string_view(response["Response-Signature"])),
         response.body()},
        response.count(http::field::retry_after) != 0);
    co_return response.keep_alive();
}

http_request soak_caller::next_request(std::size_t instance,
                                       std::chrono::milliseconds deadline,
                                       std::string& id)
{
    auto route = platform_.routes().begin();
    std::advance(route, random_.below(platform_.routes().size()));
    bool const safe = route->second.is_safe;
    id = std::to_string(number_) + "-" + std::to_string(++requests_);
    http_request request(
        safe ? http::verb::get : http::verb::post, route->first + "x" + id, 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(deadline.count()));
    if (!safe)
        request.body() = std::string(random_.below(max_body_bytes), 'b') + id;
    if (!safe && random_.chance(chunked_share))
        request.chunked(true);
    else if (!safe)
        request.prepare_payload();
    ledger_.record_sent(id,
                        {std::string(to_string_view(request.method_string())),
                         std::string(to_string_view(request.target())),
                         request.body(),
                         route->first,
                         safe,
                         instance,
                         deadline,
                         {}});
    return request;
}

void soak_caller::handle_disconnect(soak_checks::caller_view const& view)
{
    checks_.on_disconnect(view);
    // The instance is not used until the directory names it again.
    std::erase(resolved_, view.instance);
}

void soak_caller::check_no_extra_bytes(beast::tcp_stream& stream,
                                       beast::flat_buffer const& buffer)
{
    error_code error;
    if (buffer.size() != 0 || stream.socket().available(error) != 0)
        ledger_.report("MIXED",
                       "caller " + std::to_string(number_) +
                           " received bytes without a pending request");
}

asio::awaitable<void> soak_caller::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(as_result);
}

} // namespace kumquatloom::soak
