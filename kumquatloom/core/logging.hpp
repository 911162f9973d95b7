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
    /// Its value.
    log_value value;
};

/// Where log lines go.
enum class log_output
{
    /// For commands, whose results go to standard output.
    standard_error,
    /// For processes that serve.
    standard_output
};

/// Sends log lines of at least the level ("debug", "info", "warning",
/// "error") to the output. Called once at the start of the process.
void configure_logging(std::string_view level,
                       log_output output = log_output::standard_error);

/// Adds the instance and its incarnation to every later line.
void configure_log_identity(std::string_view instance,
                            std::uint64_t incarnation);

/// Writes a change of state as one line of JSON.
void log_info(std::string_view event,
              std::initializer_list<log_field> fields = {});

/// As log_info, for changes that an operator should look at.
void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields = {});

/// As log_info, for changes that stop some part from working.
void log_error(std::string_view event,
               std::initializer_list<log_field> fields = {});

/// As log_info, for decisions about requests that go well. Above a bounded
/// number of lines a second they are left out and counted.
void log_rate_limited(std::string_view event,
                      std::initializer_list<log_field> fields = {});

/// Writes what has waited for the reader of the log. Lines are written in
/// groups, so that a process calls this regularly.
void flush_log();

/// Lines that were dropped or left out so far.
std::uint64_t dropped_log_lines();

} // namespace kumquatloom::core

#endif
