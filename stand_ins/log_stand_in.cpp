#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <stand_ins/log_stand_in.hpp>
#include <stand_ins/query.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t default_read_records = 256;
/// Interval at which a waiting read checks for new records.
constexpr std::chrono::milliseconds read_poll_interval{5};

} // namespace

log_stand_in::log_stand_in(asio::io_context& context,
                           settings::endpoint const& listen,
                           log_stand_in_settings const& initial)
    : settings_(initial)
    , server_(context,
              listen,
              [this](http_request const& request)
              {
                  return handle_request(request);
              })
{
}

std::uint64_t log_stand_in::append(std::string data)
{
    records_.push_back(std::move(data));
    while (records_.size() > settings_.retained_records)
    {
        records_.pop_front();
        ++first_offset_;
    }
    return next_offset() - 1;
}

void log_stand_in::truncate(std::uint64_t next)
{
    while (next_offset() > next && !records_.empty())
        records_.pop_back();
}

asio::awaitable<http_reply>
log_stand_in::handle_request(http_request const& request)
{
    std::string const target(request.target());
    if (target_path(target) == "/control")
        co_return handle_control(request);
    if (settings_.delay.count() > 0)
    {
        asio::steady_timer pause(co_await asio::this_coro::executor,
                                 settings_.delay);
        co_await pause.async_wait(as_result);
    }
    if (settings_.outage)
        co_return json_reply(503, R"({"error":"outage"})");
    if (target_path(target) != "/log/records")
        co_return json_reply(404, R"({"error":"no such path"})");
    if (request.method() == boost::beast::http::verb::post)
        co_return handle_append(request);
    co_return co_await handle_read(target);
}

asio::awaitable<http_reply> log_stand_in::handle_read(std::string target)
{
    auto const from = query_number(target, "from", first_offset_);
    auto const max = query_number(target, "max", default_read_records);
    std::chrono::milliseconds const wait(query_number(target, "wait_ms", 0));
    // Long poll: wait for a record at or after the offset.
    auto const until = std::chrono::steady_clock::now() + wait;
    asio::steady_timer pause(co_await asio::this_coro::executor);
    while (from >= next_offset() && !settings_.outage &&
           std::chrono::steady_clock::now() < until)
    {
        pause.expires_after(read_poll_interval);
        co_await pause.async_wait(as_result);
    }
    if (settings_.outage)
        co_return json_reply(503, R"({"error":"outage"})");
    bool const gone = from < first_offset_;
    co_return json_reply(gone ? 410 : 200,
                         render(gone ? next_offset() : from, max));
}

http_reply log_stand_in::handle_append(http_request const& request)
{
    if (!take_append_token())
        return json_reply(429, R"({"error":"append rate"})");
    boost::system::error_code error;
    auto const value = json::parse(request.body(), error);
    if (error || !value.is_object() || !value.as_object().contains("data") ||
        !value.at("data").is_string())
        return json_reply(400, R"({"error":"data is missing"})");
    auto const offset = append(std::string(value.at("data").get_string()));
    if (settings_.lost_replies > 0)
    {
        --settings_.lost_replies;
        return dropped_reply();
    }
    return json_reply(200, json::serialize(json::object{{"offset", offset}}));
}

http_reply log_stand_in::handle_control(http_request const& request)
{
    boost::system::error_code error;
    auto const value = json::parse(request.body(), error);
    if (error || !value.is_object())
        return json_reply(400, R"({"error":"not an object"})");
    auto const& change = value.get_object();
    if (auto const* const outage = change.if_contains("outage"))
        settings_.outage = outage->as_bool();
    if (auto const* const delay = change.if_contains("delay_ms"))
        settings_.delay = std::chrono::milliseconds(delay->to_number<long>());
    if (auto const* const lost = change.if_contains("lost_replies"))
        settings_.lost_replies = lost->to_number<std::uint64_t>();
    if (auto const* const kept = change.if_contains("retained_records"))
        settings_.retained_records = kept->to_number<std::size_t>();
    if (auto const* const next = change.if_contains("truncate"))
        truncate(next->to_number<std::uint64_t>());
    return json_reply(200, "{}");
}

bool log_stand_in::take_append_token()
{
    auto const now = std::chrono::steady_clock::now();
    if (now - second_start_ >= std::chrono::seconds(1))
    {
        second_start_ = now;
        appends_in_second_ = 0;
    }
    return appends_in_second_++ < settings_.appends_per_s;
}

std::uint64_t log_stand_in::next_offset() const
{
    return first_offset_ + records_.size();
}

std::string log_stand_in::render(std::uint64_t from, std::uint64_t max) const
{
    json::array records;
    auto const end = std::min(next_offset(), from + max);
    for (std::uint64_t offset = from; offset < end; ++offset)
        records.push_back(json::object{
            {"offset", offset}, {"data", records_[offset - first_offset_]}});
    return json::serialize(json::object{{"first", first_offset_},
                                        {"next", next_offset()},
                                        {"records", std::move(records)}});
}

} // namespace kumquatloom::stand_ins
