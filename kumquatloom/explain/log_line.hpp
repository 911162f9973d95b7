#ifndef KUMQUATLOOM_EXPLAIN_LOG_LINE_HPP
#define KUMQUATLOOM_EXPLAIN_LOG_LINE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::explain
{

/// One structured line of an instance's log.
struct log_line
{
    /// Wall-clock time of the instance in milliseconds since the epoch.
    std::int64_t time_ms = 0;
    /// Name of the event.
    std::string event;
    /// The instance that wrote it.
    std::string instance;
    /// All other fields as text.
    std::map<std::string, std::string, std::less<>> fields;

    /// A field as text; empty if there is none.
    std::string text(std::string_view name) const;

    /// A field as a whole number; 0 if there is none.
    std::int64_t number(std::string_view name) const;
};

/// Reads a line; what stands before the first brace, such as the time and the
/// name that a collector adds, is left out. Nothing if it is no such line.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace kumquatloom::explain

#endif
