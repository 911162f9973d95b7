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

/// Reads the members of one JSON object and collects all faults with their JSON
/// pointers instead of stopping at the first. finish() reports members that
/// were never requested as unknown.
class json_reader
{
public:
    /// Reads `value`, which is located at `pointer`, and adds faults to
    /// `faults`. `value` and `faults` must outlive the reader.
    json_reader(boost::json::value const& value,
                std::string pointer,
                fault_list& faults);

    /// Whether the object has the member.
    bool has(std::string_view key) const;

    /// A string member of `min_size` to `max_size` bytes; empty after a fault.
    std::string text(std::string_view key,
                     std::size_t min_size = 1,
                     std::size_t max_size = default_max_text_size);

    /// A string member, which may be empty; `fallback` if it is absent, empty
    /// after a fault.
    std::string text_or(std::string_view key, std::string_view fallback);

    /// An integer from `min` to `max`; `min` after a fault.
    std::uint64_t
    number(std::string_view key, std::uint64_t min, std::uint64_t max);

    /// As number(), or `fallback` if the member is absent.
    std::uint64_t number_or(std::string_view key,
                            std::uint64_t min,
                            std::uint64_t max,
                            std::uint64_t fallback);

    /// A floating-point number from `min` to `max`; `fallback` if the member
    /// is absent or after a fault.
    double
    fraction_or(std::string_view key, double min, double max, double fallback);

    /// A Boolean; `fallback` if the member is absent or after a fault.
    bool flag_or(std::string_view key, bool fallback);

    /// A duration in whole milliseconds from `min` to `max`; `fallback` if the
    /// member is absent, `min` after a fault.
    std::chrono::milliseconds
    milliseconds_or(std::string_view key,
                    std::chrono::milliseconds min,
                    std::chrono::milliseconds max,
                    std::chrono::milliseconds fallback);

    /// One of the `allowed` strings; the first of them after a fault. An absent
    /// member is a fault unless there is a `fallback`, which is then returned.
    std::string one_of(std::string_view key,
                       std::vector<std::string> const& allowed,
                       std::optional<std::string> const& fallback = {});

    /// An array of non-empty strings; empty if the member is absent. Faulty
    /// elements are left out.
    std::vector<std::string> texts(std::string_view key);

    /// An object of integers from `min` to `max`; empty if the member is
    /// absent.
    std::map<std::string, std::uint64_t>
    numbers(std::string_view key, std::uint64_t min, std::uint64_t max);

    /// Calls `visit` with a reader for the object in a member. An absent
    /// member is a fault only if it is `required`.
    void object(std::string_view key,
                std::function<void(json_reader&)> const& visit,
                bool required = true);

    /// Calls `visit` for each member of an object of objects, with the member's
    /// name and a reader for its value.
    void each_member(
        std::string_view key,
        std::function<void(std::string const&, json_reader&)> const& visit,
        bool required = true);

    /// Calls `visit` with a reader for each element of an array of objects.
    void each_element(std::string_view key,
                      std::function<void(json_reader&)> const& visit,
                      bool required = true);

    /// Adds a fault about a member of this object.
    void report(std::string_view key, std::string value, std::string allowed);

    /// Reports members that were not requested. Nested readers are finished by
    /// their parent, the outermost one by its owner.
    void finish();

    /// JSON pointer of the object.
    std::string const& pointer() const
    {
        return pointer_;
    }

private:
    /// Largest accepted size of a string if the caller states no limit.
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
    /// Names of the members that were requested.
    std::set<std::string, std::less<>> requested_;
};

/// Parses JSON text; a syntax error becomes a fault of the whole text.
std::optional<boost::json::value> parse_json(std::string_view text,
                                             fault_list& faults);

/// Appends a member name or index to a JSON pointer, escaped by RFC 6901.
std::string append_to_pointer(std::string_view pointer, std::string_view token);

} // namespace kumquatloom::core

#endif
