#ifndef KUMQUATLOOM_CORE_LOGGING_HPP
#define KUMQUATLOOM_CORE_LOGGING_HPP

#include <kumquatloom/core/log_value.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace kumquatloom::core
{

/// One field of a structured log line.
struct log_field
{
    /// Name of the field.
    std::string_view name;
    /// Value of the field.
    log_value value;
};

/// Destination of the log lines.
enum class log_output
{
    /// For command-line tools, which print their results to standard output.
    standard_error,
    /// For server processes.
    standard_output
};

/// Sends log lines of at least the level ("debug", "info", "warning",
/// "error") to the output. Called once, at process start.
void configure_logging(std::string_view level,
                       log_output output = log_output::standard_error);

/// Adds the instance and its incarnation to every subsequent line.
void configure_log_identity(std::string_view instance,
                            std::uint64_t incarnation);

/// Logs a state change as one line of JSON.
void log_info(std::string_view event,
              std::initializer_list<log_field> fields = {});

/// As log_info(), for events that an operator should look at.
void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields = {});

/// As log_info(), for failures that disable a part of the system.
void log_error(std::string_view event,
               std::initializer_list<log_field> fields = {});

/// As log_info(), for frequent events such as the steps of successful requests.
/// Lines above a fixed rate are suppressed and counted.
void log_rate_limited(std::string_view event,
                      std::initializer_list<log_field> fields = {});

/// Writes buffered lines as far as possible without blocking. Rate-limited
/// lines are buffered, so a process must call this regularly.
void flush_log();

/// Number of lines dropped or suppressed so far.
std::uint64_t dropped_log_lines();

} // namespace kumquatloom::core

#endif
