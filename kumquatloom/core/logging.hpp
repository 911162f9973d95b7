#ifndef KUMQUATLOOM_CORE_LOGGING_HPP
#define KUMQUATLOOM_CORE_LOGGING_HPP

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
    std::string value;
};

/// Sends log lines of at least the level ("debug", "info", "warning",
/// "error") to standard error. Called once at the start of the process.
void configure_logging(std::string_view level);

/// Writes a change of state as one line of JSON.
void log_info(std::string_view event,
              std::initializer_list<log_field> fields = {});

/// As log_info, for changes that an operator should look at.
void log_warning(std::string_view event,
                 std::initializer_list<log_field> fields = {});

/// As log_info, for changes that stop some part from working.
void log_error(std::string_view event,
               std::initializer_list<log_field> fields = {});

} // namespace kumquatloom::core

#endif
