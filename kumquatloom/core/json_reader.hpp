#ifndef KUMQUATLOOM_CORE_JSON_READER_HPP
#define KUMQUATLOOM_CORE_JSON_READER_HPP

#include <kumquatloom/core/fault.hpp>

#include <boost/json/fwd.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::core
{

/// Reads the members of one JSON object and collects every fault with its JSON
/// pointer instead of stopping at the first. Members that were never asked for
/// are reported as unknown by finish().
class json_reader
{
public:
    /// Reads `value`, which stands at `pointer`, and adds faults to `faults`.
    /// All three must outlive the reader.
    json_reader(boost::json::value const& value,
                std::string pointer,
                fault_list& faults);

    /// Whether the object has the member.
    bool has(std::string_view key) const;

    /// The text of a member, which must have from `min_size` to `max_size`
    /// bytes; empty after a fault.
    std::string text(std::string_view key,
                     std::size_t min_size = 1,
                     std::size_t max_size = default_max_text_size);

    /// As text(), with a value for an absent member.
    std::string text_or(std::string_view key, std::string_view fallback);

    /// A whole number of the range; `min` after a fault.
    std::uint64_t
    number(std::string_view key, std::uint64_t min, std::uint64_t max);

    /// As number(), with a value for an absent member.
    std::uint64_t number_or(std::string_view key,
                            std::uint64_t min,
                            std::uint64_t max,
                            std::uint64_t fallback);

    /// A fraction of the range, with a value for an absent member.
    double
    fraction_or(std::string_view key, double min, double max, double fallback);

    /// A truth value, with a value for an absent member.
    bool flag_or(std::string_view key, bool fallback);

    /// A time in whole milliseconds, with a value for an absent member.
    std::chrono::milliseconds
    milliseconds_or(std::string_view key,
                    std::chrono::milliseconds min,
                    std::chrono::milliseconds max,
                    std::chrono::milliseconds fallback);

    /// One text out of a fixed list, with a value for an absent member.
    std::string one_of(std::string_view key,
                       std::vector<std::string> const& allowed,
                       std::optional<std::string> const& fallback = {});

    /// A list of non-empty texts; an absent member is an empty list.
    std::vector<std::string> texts(std::string_view key);

    /// The members of an object of whole numbers; an absent one is empty.
    std::map<std::string, std::uint64_t>
    numbers(std::string_view key, std::uint64_t min, std::uint64_t max);

    /// Calls `visit` with a reader for the object in a member. An absent
    /// member is a fault only if it is required.
    void object(std::string_view key,
                std::function<void(json_reader&)> const& visit,
                bool required = true);

    /// Calls `visit` with the name and a reader for each object in an object.
    void each_member(
        std::string_view key,
        std::function<void(std::string const&, json_reader&)> const& visit,
        bool required = true);

    /// Calls `visit` with a reader for each object in an array.
    void each_element(std::string_view key,
                      std::function<void(json_reader&)> const& visit,
                      bool required = true);

    /// Adds a fault about a member of this object.
    void report(std::string_view key, std::string value, std::string allowed);

    /// Reports members that were not asked for. Called by the parent of a
    /// nested reader, and by the owner of the outermost one.
    void finish();

    /// JSON pointer of the object.
    std::string const& pointer() const
    {
        return pointer_;
    }

private:
    /// Longest text that is accepted without a limit of its own.
    static constexpr std::size_t default_max_text_size = 4096;

    boost::json::value const* member(std::string_view key);
    boost::json::value const* required_member(std::string_view key,
                                              std::string_view allowed);
    std::string pointer_to(std::string_view key) const;
    void report_value(std::string_view key,
                      boost::json::value const& value,
                      std::string allowed);

    /// The object, or null if the value is of another type.
    boost::json::object const* object_ = nullptr;
    /// JSON pointer of the object.
    std::string pointer_;
    /// Where faults are added.
    fault_list& faults_;
    /// Members that were asked for.
    std::set<std::string, std::less<>> asked_;
};

/// Parses JSON text; a syntax error becomes a fault of the whole text.
std::optional<boost::json::value> parse_json(std::string_view text,
                                             fault_list& faults);

/// Appends a member name or index to a JSON pointer, escaped by RFC 6901.
std::string append_to_pointer(std::string_view pointer, std::string_view token);

} // namespace kumquatloom::core

#endif
