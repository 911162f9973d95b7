#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/log_service/log_client.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace kumquatloom::log_service
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::uint64_t max_offset = std::numeric_limits<std::int64_t>::max();
/// Maximum size of a page, and therefore of a record. It far exceeds the
/// records that the fleet writes, because other writers share the log and a
/// record that cannot be read would stop the reader permanently.
constexpr std::size_t max_page_bytes = 32 * 1024 * 1024;
/// Number of records that find() reads per page.
constexpr std::size_t search_page_size = 100;
/// An offset that no log reaches, equal to the largest integer that all JSON
/// parsers represent exactly.
constexpr core::log_offset unreachable_offset = 9007199254740991;

constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

document::log_entry read_entry(core::json_reader& reader)
{
    document::log_entry entry;
    entry.offset = reader.number("offset", 0, max_offset);
    entry.data = reader.text("data", 0, max_page_bytes);
    return entry;
}

/// Returns the id of a record; nothing if the record was not written by the
/// fleet.
std::optional<std::string> record_id(std::string const& data)
{
    core::fault_list faults;
    auto const record = document::parse_record(data, faults);
    if (!record)
        return std::nullopt;
    return std::visit(
        [](auto const& typed)
        {
            return typed.id;
        },
        *record);
}

std::optional<core::log_offset> parse_append_response(std::string const& body)
{
    core::fault_list faults;
    auto const value = core::parse_json(body, faults);
    if (!value)
        return std::nullopt;
    core::json_reader reader(*value, "", faults);
    auto const offset = reader.number("offset", 0, max_offset);
    reader.finish();
    if (!faults.empty())
        return std::nullopt;
    return offset;
}

http_client_settings with_page_bound(http_client_settings settings)
{
    settings.max_body_bytes = std::max(settings.max_body_bytes, max_page_bytes);
    return settings;
}

std::string read_target(core::log_offset from,
                        std::size_t max,
                        std::chrono::milliseconds wait)
{
    return "/log/records?from=" + std::to_string(from) +
           "&max=" + std::to_string(max) +
           "&wait_ms=" + std::to_string(wait.count());
}

} // namespace

std::optional<document::log_page>
parse_log_page(std::string_view text, core::log_offset from, std::size_t max)
{
    core::fault_list faults;
    auto const value = core::parse_json(text, faults);
    if (!value)
        return std::nullopt;
    document::log_page page;
    core::json_reader reader(*value, "", faults);
    page.first = reader.number("first", 0, max_offset);
    page.next = reader.number("next", 0, max_offset);
    reader.each_element("records",
                        [&](core::json_reader& part)
                        {
                            page.records.push_back(read_entry(part));
                        });
    reader.finish();
    if (!faults.empty() || page.records.size() > max || page.first > page.next)
        return std::nullopt;
    // Reject pages with gaps: skipped records would be lost.
    for (auto const& entry : page.records)
        if (entry.offset != from++ || entry.offset >= page.next)
            return std::nullopt;
    return page;
}

log_client::log_client(settings::endpoint server, http_client_settings settings)
    : client_(std::move(server), with_page_bound(settings))
{
}

asio::awaitable<log_client::read_result>
log_client::read(core::log_offset from,
                 std::size_t max,
                 std::chrono::milliseconds wait) const
{
    auto response = co_await client_.fetch(read_target(from, max, wait), wait);
    // Several large records together can exceed the size limit, so retry with
    // fewer records.
    while (!response && response.error() == http_error::too_large && max > 1)
    {
        max /= 2;
        response = co_await client_.fetch(read_target(from, max, wait), wait);
    }
    if (!response)
        co_return to_read_error(response.error());
    if (response.value().status != status_ok)
        co_return to_read_error(response.value().status);
    auto page = parse_log_page(response.value().body, from, max);
    if (!page)
        co_return read_error::malformed;
    co_return std::move(*page);
}

asio::awaitable<log_client::read_result> log_client::read_range() const
{
    return read(unreachable_offset, 1);
}

asio::awaitable<log_client::append_result>
log_client::append(std::string record) const
{
    auto body = json::serialize(json::object{{"data", std::move(record)}});
    auto const response =
        co_await client_.post("/log/records", std::move(body));
    if (!response)
        co_return response.error() == http_error::not_connected
            ? append_error::unreachable
            : append_error::unknown;
    auto const status = response.value().status;
    if (status == status_ok || status == status_created)
    {
        // A success without an offset does not confirm the append.
        auto const offset = parse_append_response(response.value().body);
        if (offset)
            co_return *offset;
        co_return append_error::unknown;
    }
    if (status == status_too_many_requests)
        co_return append_error::rate_limited;
    if (status == status_unavailable)
        co_return append_error::outage;
    // A 4xx status is a permanent rejection. Other failures may occur after the
    // record has been appended.
    co_return status >= 400 && status < 500 ? append_error::refused
                                            : append_error::unknown;
}

asio::awaitable<log_client::find_result>
log_client::find(std::string id, core::log_offset from) const
{
    for (;;)
    {
        auto const page = co_await read(from, search_page_size);
        if (!page)
            co_return page.error();
        for (auto const& entry : page.value().records)
            if (record_id(entry.data) == id)
                co_return std::optional<core::log_offset>(entry.offset);
        from += page.value().records.size();
        if (page.value().records.empty() || from >= page.value().next)
            co_return std::optional<core::log_offset>();
    }
}

} // namespace kumquatloom::log_service
