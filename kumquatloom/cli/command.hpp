#ifndef KUMQUATLOOM_CLI_COMMAND_HPP
#define KUMQUATLOOM_CLI_COMMAND_HPP

#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::cli
{

/// Exit status of a successful command.
constexpr int exit_success = 0;
/// Exit status of a failed command.
constexpr int exit_failure = 1;
/// Exit status for invalid arguments and for files with faults.
constexpr int exit_usage = 2;

/// One command of the program.
struct command
{
    /// Name of the command on the command line.
    std::string_view name;
    /// One-line description for the overview.
    std::string_view summary;
    /// Runs the command with the arguments after its name; returns the exit
    /// status.
    int (*run)(std::vector<std::string> const& arguments);
};

/// Returns all commands in the order of the overview.
std::vector<command> const& all_commands();

} // namespace kumquatloom::cli

#endif
