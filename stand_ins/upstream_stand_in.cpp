#include <kumquatloom/core/digest.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <stand_ins/query.hpp>
#include <stand_ins/upstream_stand_in.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Interval at which a queued request checks for a free slot.
constexpr std::chrono::milliseconds slot_poll_interval{1};
/// Time within which the fleet must stop sending requests to a leaving
/// upstream.
constexpr std::chrono::seconds leaving_grace{3};
/// Service time factor of a cold upstream.
constexpr unsigned cold_factor = 3;
/// Padding of each response body, so that truncation removes part of the body.
constexpr std::size_t filler_bytes = 512;

std::string header(http_request const& request, std::string_view name)
{
    auto const value = request[boost::beast::string_view(name)];
    return {value.data(), value.size()};
}

} // namespace

std::string_view to_string(upstream_mode mode)
{
    switch (mode)
    {
    case upstream_mode::well:
        return "well";
    case upstream_mode::slow:
        return "slow";
    case upstream_mode::errors:
        return "errors";
    case upstream_mode::wrong_body:
        return "wrong_body";
    case upstream_mode::foreign_answer:
        return "foreign_answer";
    case upstream_mode::cut_body:
        return "cut_body";
    case upstream_mode::flapping:
        return "flapping";
    case upstream_mode::refusing:
        return "refusing";
    case upstream_mode::count:
        break;
    }
    return "";
}

upstream_stand_in::upstream_stand_in(asio::io_context& context,
                                     settings::endpoint const& listen,
                                     upstream_stand_in_settings const& initial)
    : settings_(initial)
    , started_(steady_clock::now())
    , random_(initial.seed)
    , server_(context,
              listen,
              [this](http_request const& request)
              {
                  return handle_request(request);
              })
{
}

void upstream_stand_in::start_leaving()
{
    leaving_ = true;
    leaving_since_ = steady_clock::now();
}

unsigned upstream_stand_in::executions(std::string const& operation) const
{
    auto const found = executions_.find(operation);
    return found == executions_.end() ? 0 : found->second;
}

json::object upstream_stand_in::audit() const
{
    json::object counts;
    for (auto const& [operation, count] : executions_)
        counts[operation] = count;
    return {{"id", settings_.id.value()},
            {"received", received_},
            {"received_late_while_leaving", received_late_while_leaving_},
            {"executions", std::move(counts)}};
}

asio::awaitable<http_reply>
upstream_stand_in::handle_request(http_request const& request)
{
    std::string const target(request.target());
    auto const path = target_path(target);
    if (path == "/healthz")
        co_return json_reply(200, R"({"health":"well"})");
    if (path == "/control")
        co_return handle_control(request);
    if (path == "/audit")
        co_return json_reply(200, json::serialize(audit()));
    co_return co_await execute(request);
}

asio::awaitable<http_reply> upstream_stand_in::execute(http_request request)
{
    count_arrival();
    auto const mode = effective_mode();
    if (mode == upstream_mode::refusing || !co_await wait_for_slot())
        co_return make_refusal(request);
    // The operation counts as executed as soon as it occupies a slot.
    ++busy_;
    if (auto const operation = header(request, "X-Operation");
        !operation.empty())
        ++executions_[operation];
    co_await simulate_work(mode);
    --busy_;
    co_return make_response(request, mode);
}

asio::awaitable<bool> upstream_stand_in::wait_for_slot()
{
    if (busy_ >= settings_.slots && queued_ >= settings_.queue_limit)
        co_return false;
    asio::steady_timer pause(co_await asio::this_coro::executor);
    ++queued_;
    while (busy_ >= settings_.slots)
    {
        pause.expires_after(slot_poll_interval);
        co_await pause.async_wait(as_result);
    }
    --queued_;
    co_return true;
}

asio::awaitable<void> upstream_stand_in::simulate_work(upstream_mode mode)
{
    using std::chrono::microseconds;
    // Service times vary by 25% of the mean in each direction.
    std::uniform_real_distribution<double> variation(0.75, 1.25);
    auto time = std::chrono::duration_cast<microseconds>(
        settings_.service_time * variation(random_));
    if (mode == upstream_mode::slow)
        time *= settings_.slow_factor;
    if (steady_clock::now() - started_ < settings_.cold_time)
        time *= cold_factor;
    asio::steady_timer pause(co_await asio::this_coro::executor, time);
    co_await pause.async_wait(as_result);
}

http_reply upstream_stand_in::make_response(http_request const& request,
                                            upstream_mode mode)
{
    if (mode == upstream_mode::errors)
    {
        auto failed = json_reply(500, R"({"error":"internal"})");
        add_headers(request, failed.response);
        return failed;
    }
    json::object const body{
        {"upstream", settings_.id.value()},
        {"organisation", header(request, "Kumquatloom-Organisation")},
        {"operation", header(request, "X-Operation")},
        {"target", std::string(request.target())},
        {"filler", std::string(filler_bytes, 'x')},
        {"end", true}};
    auto reply = json_reply(200, json::serialize(body));
    add_headers(request, reply.response);
    if (mode == upstream_mode::wrong_body)
        reply.response.body()[reply.response.body().size() / 2] ^= 1;
    if (mode == upstream_mode::cut_body)
        reply.cut_after_bytes = reply.response.body().size() / 2;
    if (mode == upstream_mode::foreign_answer)
    {
        std::swap(reply.response.body(), previous_body_);
        auto const id = std::exchange(
            previous_request_id_, header(request, "Kumquatloom-Request-Id"));
        add_headers(request, reply.response);
        reply.response.set("Kumquatloom-Request-Id", id);
        reply.response.prepare_payload();
    }
    return reply;
}

http_reply upstream_stand_in::make_refusal(http_request const& request)
{
    auto reply = json_reply(503, R"({"error":"refused"})");
    add_headers(request, reply.response);
    reply.response.set("Kumquatloom-Outcome", "not-run");
    return reply;
}

http_reply upstream_stand_in::handle_control(http_request const& request)
{
    boost::system::error_code error;
    auto const value = json::parse(request.body(), error);
    if (error || !value.is_object())
        return json_reply(400, R"({"error":"not an object"})");
    auto const& change = value.get_object();
    if (change.contains("leaving"))
        start_leaving();
    if (auto const* const name = change.if_contains("mode"))
    {
        for (unsigned i = 0; i < static_cast<unsigned>(upstream_mode::count);
             ++i)
            if (name->as_string() == to_string(static_cast<upstream_mode>(i)))
            {
                switch_mode(static_cast<upstream_mode>(i));
                return json_reply(200, "{}");
            }
        return json_reply(400, R"({"error":"no such mode"})");
    }
    return json_reply(200, "{}");
}

upstream_mode upstream_stand_in::effective_mode() const
{
    if (mode_ != upstream_mode::flapping)
        return mode_;
    auto const elapsed_periods =
        (steady_clock::now() - started_) / settings_.flap_period;
    return elapsed_periods % 2 == 0 ? upstream_mode::slow : upstream_mode::well;
}

void upstream_stand_in::count_arrival()
{
    ++received_;
    if (leaving_ && steady_clock::now() - leaving_since_ > leaving_grace)
        ++received_late_while_leaving_;
}

void upstream_stand_in::add_headers(http_request const& request,
                                    http_response& response)
{
    response.set("Kumquatloom-Request-Id",
                 header(request, "Kumquatloom-Request-Id"));
    response.set("Kumquatloom-Load",
                 std::to_string(busy_) + "/" + std::to_string(settings_.slots));
    auto const digest = core::sha256(response.body());
    response.set("Content-Digest",
                 "sha-256=:" + core::to_base64(core::as_bytes(digest)) + ":");
    if (leaving_)
        response.set("Kumquatloom-State", "leaving");
}

} // namespace kumquatloom::stand_ins
