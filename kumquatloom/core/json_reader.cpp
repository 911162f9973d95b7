#include <kumquatloom/core/json_reader.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cmath>
#include <utility>

namespace json = boost::json;

namespace kumquatloom::core
{

namespace
{

/// Longest part of a faulty value that a fault quotes.
constexpr std::size_t max_quoted_size = 80;

std::string quoted(json::value const& value)
{
    std::string text = json::serialize(value);
    if (text.size() > max_quoted_size)
        text = text.substr(0, max_quoted_size) + "...";
    return text;
}

template <typename Number>
std::string range_text(std::string_view type, Number min, Number max)
{
    return std::string(type) + " from " + std::to_string(min) + " to " +
           std::to_string(max);
}

std::optional<std::uint64_t> as_unsigned(json::value const& value)
{
    if (value.is_uint64())
        return value.as_uint64();
    if (value.is_int64() && value.as_int64() >= 0)
        return static_cast<std::uint64_t>(value.as_int64());
    return std::nullopt;
}

} // namespace

json_reader::json_reader(json::value const& value,
                         std::string pointer,
                         fault_list& faults)
    : pointer_(std::move(pointer))
    , faults_(faults)
{
    if (value.is_object())
        object_ = &value.get_object();
    else
        faults_.push_back({pointer_, quoted(value), "an object"});
}

bool json_reader::has(std::string_view key) const
{
    return object_ != nullptr && object_->contains(key);
}

std::string json_reader::text(std::string_view key,
                              std::size_t min_size,
                              std::size_t max_size)
{
    std::string const allowed =
        range_text("a text with a size", min_size, max_size);
    auto const* const value = required_member(key, allowed);
    if (value == nullptr)
        return {};
    if (!value->is_string() || value->get_string().size() < min_size ||
        value->get_string().size() > max_size)
    {
        report_value(key, *value, allowed);
        return {};
    }
    return std::string(value->get_string());
}

std::string json_reader::text_or(std::string_view key,
                                 std::string_view fallback)
{
    if (!has(key))
    {
        requested_.emplace(key);
        return std::string(fallback);
    }
    return text(key, 0);
}

std::uint64_t
json_reader::number(std::string_view key, std::uint64_t min, std::uint64_t max)
{
    std::string const allowed = range_text("a whole number", min, max);
    auto const* const value = required_member(key, allowed);
    if (value == nullptr)
        return min;
    auto const parsed = as_unsigned(*value);
    if (!parsed || *parsed < min || *parsed > max)
    {
        report_value(key, *value, allowed);
        return min;
    }
    return *parsed;
}

std::uint64_t json_reader::number_or(std::string_view key,
                                     std::uint64_t min,
                                     std::uint64_t max,
                                     std::uint64_t fallback)
{
    if (member(key) == nullptr)
        return fallback;
    return number(key, min, max);
}

double json_reader::fraction_or(std::string_view key,
                                double min,
                                double max,
                                double fallback)
{
    auto const* const value = member(key);
    if (value == nullptr)
        return fallback;
    double const number =
        value->is_number() ? value->to_number<double>() : std::nan("");
    if (!(number >= min && number <= max))
    {
        report_value(key, *value, range_text("a number", min, max));
        return fallback;
    }
    return number;
}

bool json_reader::flag_or(std::string_view key, bool fallback)
{
    auto const* const value = member(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_bool())
    {
        report_value(key, *value, "true or false");
        return fallback;
    }
    return value->get_bool();
}

std::chrono::milliseconds
json_reader::milliseconds_or(std::string_view key,
                             std::chrono::milliseconds min,
                             std::chrono::milliseconds max,
                             std::chrono::milliseconds fallback)
{
    auto const count = [](std::chrono::milliseconds time)
    {
        return static_cast<std::uint64_t>(time.count());
    };
    return std::chrono::milliseconds(
        number_or(key, count(min), count(max), count(fallback)));
}

std::string json_reader::one_of(std::string_view key,
                                std::vector<std::string> const& allowed,
                                std::optional<std::string> const& fallback)
{
    std::string choices = "one of";
    for (auto const& choice : allowed)
        choices += " \"" + choice + "\"";
    if (fallback && member(key) == nullptr)
        return *fallback;
    auto const* const value = required_member(key, choices);
    if (value == nullptr)
        return allowed.front();
    for (auto const& choice : allowed)
        if (value->is_string() && value->get_string() == choice)
            return choice;
    report_value(key, *value, choices);
    return allowed.front();
}

std::vector<std::string> json_reader::texts(std::string_view key)
{
    auto const* const value = member(key);
    if (value == nullptr)
        return {};
    if (!value->is_array())
    {
        report_value(key, *value, "a list of texts");
        return {};
    }
    std::vector<std::string> list;
    std::size_t index = 0;
    for (auto const& element : value->get_array())
    {
        if (element.is_string() && !element.get_string().empty())
            list.emplace_back(element.get_string());
        else
            faults_.push_back(
                {append_to_pointer(pointer_to(key), std::to_string(index)),
                 quoted(element),
                 "a non-empty text"});
        ++index;
    }
    return list;
}

std::map<std::string, std::uint64_t>
json_reader::numbers(std::string_view key, std::uint64_t min, std::uint64_t max)
{
    std::map<std::string, std::uint64_t> result;
    object(
        key,
        [&](json_reader& nested)
        {
            for (auto const& entry : *nested.object_)
                result.emplace(entry.key(),
                               nested.number(entry.key(), min, max));
        },
        false);
    return result;
}

void json_reader::object(std::string_view key,
                         std::function<void(json_reader&)> const& visit,
                         bool required)
{
    auto const* const value =
        required ? required_member(key, "an object") : member(key);
    if (value == nullptr)
        return;
    json_reader nested(*value, pointer_to(key), faults_);
    if (!value->is_object())
        return;
    visit(nested);
    nested.finish();
}

void json_reader::each_member(
    std::string_view key,
    std::function<void(std::string const&, json_reader&)> const& visit,
    bool required)
{
    auto const* const value =
        required ? required_member(key, "an object of objects") : member(key);
    if (value == nullptr)
        return;
    if (!value->is_object())
    {
        report_value(key, *value, "an object of objects");
        return;
    }
    for (auto const& entry : value->get_object())
    {
        json_reader nested(entry.value(),
                           append_to_pointer(pointer_to(key), entry.key()),
                           faults_);
        if (!entry.value().is_object())
            continue;
        visit(std::string(entry.key()), nested);
        nested.finish();
    }
}

void json_reader::each_element(std::string_view key,
                               std::function<void(json_reader&)> const& visit,
                               bool required)
{
    auto const* const value =
        required ? required_member(key, "a list of objects") : member(key);
    if (value == nullptr)
        return;
    if (!value->is_array())
    {
        report_value(key, *value, "a list of objects");
        return;
    }
    std::size_t index = 0;
    for (auto const& element : value->get_array())
    {
        json_reader nested(
            element,
            append_to_pointer(pointer_to(key), std::to_string(index++)),
            faults_);
        if (!element.is_object())
            continue;
        visit(nested);
        nested.finish();
    }
}

void json_reader::report(std::string_view key,
                         std::string value,
                         std::string allowed)
{
    faults_.push_back({pointer_to(key), std::move(value), std::move(allowed)});
}

void json_reader::finish()
{
    if (object_ == nullptr)
        return;
    for (auto const& entry : *object_)
        if (requested_.find(std::string_view(entry.key())) == requested_.end())
            faults_.push_back({pointer_to(entry.key()),
                               quoted(entry.value()),
                               "no member of this name"});
}

json::value const* json_reader::member(std::string_view key)
{
    requested_.emplace(key);
    return object_ == nullptr ? nullptr : object_->if_contains(key);
}

json::value const* json_reader::required_member(std::string_view key,
                                                std::string_view allowed)
{
    auto const* const value = member(key);
    if (value == nullptr && object_ != nullptr)
        faults_.push_back({pointer_to(key), "nothing", std::string(allowed)});
    return value;
}

std::string json_reader::pointer_to(std::string_view key) const
{
    return append_to_pointer(pointer_, key);
}

void json_reader::report_value(std::string_view key,
                               json::value const& value,
                               std::string allowed)
{
    report(key, quoted(value), std::move(allowed));
}

std::optional<json::value> parse_json(std::string_view text, fault_list& faults)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (!error)
        return value;
    faults.push_back(
        {"", "text that is not JSON", "JSON (" + error.message() + ")"});
    return std::nullopt;
}

std::string append_to_pointer(std::string_view pointer, std::string_view token)
{
    std::string result(pointer);
    result.push_back('/');
    for (char const character : token)
    {
        if (character == '~')
            result += "~0";
        else if (character == '/')
            result += "~1";
        else
            result.push_back(character);
    }
    return result;
}

} // namespace kumquatloom::core
