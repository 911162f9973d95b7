#ifndef KUMQUATLOOM_EXPLAIN_LOG_LINE_HPP
#define KUMQUATLOOM_EXPLAIN_LOG_LINE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::explain
{

/// One structured log line of an instance.
struct log_line
{
    /// Wall-clock time on the instance in milliseconds since the Unix epoch.
    std::int64_t time_ms = 0;
    /// Event name.
    std::string event;
    /// Id of the instance that wrote the line.
    std::string instance;
    /// All fields as text, including the ones above.
    std::map<std::string, std::string, std::less<>> fields;

    /// Returns a field as text, or an empty string if the field is missing.
    std::string text(std::string_view name) const;

    /// Returns a field as an integer, or 0 if the field is missing.
    std::int64_t number(std::string_view name) const;
};

/// Parses a log line. Skips any prefix before the first brace, such as the time
/// and host name that a log collector adds. Returns std::nullopt if the line
/// is not a JSON object with an event name.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace kumquatloom::explain

#endif
