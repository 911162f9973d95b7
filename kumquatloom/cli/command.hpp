#ifndef KUMQUATLOOM_CLI_COMMAND_HPP
#define KUMQUATLOOM_CLI_COMMAND_HPP

#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::cli
{

/// Exit status of a command that did what it was asked for.
constexpr int exit_success = 0;
/// Exit status of a command that could not do what it was asked for.
constexpr int exit_failure = 1;
/// Exit status for wrong arguments and for files with faults.
constexpr int exit_usage = 2;

/// One command of the program.
struct command
{
    /// The word that selects it.
    std::string_view name;
    /// One line for the overview.
    std::string_view summary;
    /// Runs it with the arguments after the name; returns the exit status.
    int (*run)(std::vector<std::string> const& arguments);
};

/// All commands, in the order of the overview.
std::vector<command> const& all_commands();

} // namespace kumquatloom::cli

#endif
