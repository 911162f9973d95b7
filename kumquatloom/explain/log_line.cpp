#include <kumquatloom/explain/log_line.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>

namespace kumquatloom::explain
{

namespace
{

namespace json = boost::json;

std::string to_plain_text(json::value const& value)
{
    return value.is_string() ? std::string(value.get_string())
                             : json::serialize(value);
}

} // namespace

std::string log_line::text(std::string_view name) const
{
    auto const found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::int64_t log_line::number(std::string_view name) const
{
    auto const value = text(name);
    std::int64_t result = 0;
    // A field that is not a number yields 0, as a missing field does.
    std::from_chars(value.data(), value.data() + value.size(), result);
    return result;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    auto const begin = text.find('{');
    if (begin == text.npos)
        return std::nullopt;
    json::error_code error;
    auto const parsed = json::parse(text.substr(begin), error);
    if (error || !parsed.is_object())
        return std::nullopt;
    log_line line;
    for (auto const& member : parsed.get_object())
        line.fields.emplace(member.key(), to_plain_text(member.value()));
    line.event = line.text("event");
    line.instance = line.text("instance");
    line.time_ms = line.number("time_ms");
    if (line.event.empty())
        return std::nullopt;
    return line;
}

} // namespace kumquatloom::explain
