#include <kumquatloom/core/digest.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <stand_ins/platform_store_stand_in.hpp>
#include <stand_ins/query.hpp>
#include <utility>

namespace kumquatloom::stand_ins
{

namespace
{

namespace json = boost::json;

/// Response delay of a slow store: sixty times the usual 4 ms.
constexpr std::chrono::milliseconds slow_response_delay{240};
/// Maximum number of records in a page of /log-newest.
constexpr std::size_t page_size = 500;

/// A string parameter in the query of a request target, without unescaping: the
/// names used here need none.
std::string query_string(std::string_view target, std::string_view key)
{
    auto const wanted = std::string(key) + "=";
    auto at = target.find('?');
    while (at != target.npos)
    {
        auto const part = target.substr(at + 1);
        if (part.starts_with(wanted))
            return std::string(part.substr(
                wanted.size(),
                part.find('&') == part.npos ? part.npos
                                            : part.find('&') - wanted.size()));
        at = target.find('&', at + 1);
    }
    return {};
}

template <typename Number>
void append_number(std::string& bytes, Number number)
{
    auto const big_endian = boost::endian::native_to_big(number);
    bytes.append(reinterpret_cast<char const*>(&big_endian),
                 sizeof(big_endian));
}

http_reply binary_reply(std::string body)
{
    auto reply = json_reply(200, std::move(body));
    reply.response.set(boost::beast::http::field::content_type,
                       "application/octet-stream");
    return reply;
}

} // namespace

platform_store_stand_in::platform_store_stand_in(
    boost::asio::io_context& context, settings::endpoint const& listen)
    : server_(context,
              listen,
              [this](http_request const& request)
              {
                  return handle_request(request);
              })
{
}

void platform_store_stand_in::put(std::string const& topic,
                                  std::string const& key,
                                  std::string const& value)
{
    auto& state = topics_[topic];
    stored_record const record{state.end++, key, value};
    state.records.push_back(record);
    if (value.empty())
        state.newest.erase(key);
    else
        state.newest[key] = record;
}

void platform_store_stand_in::clear_history()
{
    for (auto& [name, state] : topics_)
        state.records.clear();
}

boost::asio::awaitable<http_reply>
platform_store_stand_in::handle_request(http_request const& request)
{
    ++calls_;
    std::string_view const target(request.target().data(),
                                  request.target().size());
    switch (behaviour_)
    {
    case store_behaviour::silent:
        co_return dropped_reply();
    case store_behaviour::down:
        co_return json_reply(503, "{}");
    case store_behaviour::refusing:
        co_return json_reply(429, "{}");
    case store_behaviour::slow:
    {
        boost::asio::steady_timer timer(
            co_await boost::asio::this_coro::executor, slow_response_delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
        break;
    }
    case store_behaviour::normal:
    case store_behaviour::losing:
        break;
    }
    auto reply = dispatch(request, target);
    co_return behaviour_ == store_behaviour::losing ? dropped_reply()
                                                    : std::move(reply);
}

http_reply platform_store_stand_in::dispatch(http_request const& request,
                                             std::string_view target)
{
    auto const path = target_path(target);
    if (path == "/log-append")
        return handle_append(request);
    if (path == "/log-read")
        return handle_read(target);
    if (path == "/log-newest")
        return handle_newest(target);
    return json_reply(404, "{}");
}

http_reply platform_store_stand_in::handle_append(http_request const& request)
{
    std::string_view const target(request.target().data(),
                                  request.target().size());
    // The body is one record: four bytes of length, one byte of key length, the
    // key and the value.
    auto const& body = request.body();
    constexpr std::size_t header_size = 5;
    if (body.size() < header_size)
        return json_reply(400, "{}");
    auto const key_size = static_cast<unsigned char>(body[header_size - 1]);
    put(query_string(target, "topic"),
        body.substr(header_size, key_size),
        body.substr(header_size + key_size));
    return json_reply(200, R"({"offset":0,"end":1})");
}

http_reply platform_store_stand_in::handle_read(std::string_view target)
{
    auto& state = topics_[query_string(target, "topic")];
    auto const from = query_number(target, "from", 0);
    auto const first =
        state.records.empty() ? state.end : state.records.front().offset;
    if (from < first)
        return json_reply(410, R"({"first":)" + std::to_string(first) + "}");
    std::string bytes;
    append_number<std::uint64_t>(bytes, state.end);
    append_number<std::uint64_t>(bytes, first);
    for (auto const& record : state.records)
    {
        if (record.offset < from)
            continue;
        append_number(bytes,
                      static_cast<std::uint32_t>(1 + record.key.size() +
                                                 record.value.size()));
        bytes.push_back(static_cast<char>(record.key.size()));
        bytes.append(record.key).append(record.value);
    }
    return binary_reply(std::move(bytes));
}

http_reply platform_store_stand_in::handle_newest(std::string_view target)
{
    ++listings_[query_string(target, "topic")];
    auto& state = topics_[query_string(target, "topic")];
    auto const after = query_string(target, "after");
    json::array items;
    bool more = false;
    for (auto at = state.newest.upper_bound(after); at != state.newest.end();
         ++at)
    {
        if (items.size() == page_size)
        {
            more = true;
            break;
        }
        items.push_back({{"key", at->first},
                         {"value", core::to_base64(at->second.value)},
                         {"offset", at->second.offset}});
    }
    json::object const page{
        {"items", std::move(items)}, {"hasMore", more}, {"end", state.end}};
    return json_reply(200, json::serialize(page));
}

} // namespace kumquatloom::stand_ins
