#ifndef KUMQUATLOOM_CLI_COMMAND_LINE_HPP
#define KUMQUATLOOM_CLI_COMMAND_LINE_HPP

#include <kumquatloom/core/fault.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cxxopts
{
class Options;
class ParseResult;
} // namespace cxxopts

namespace kumquatloom::cli
{

/// Parses the arguments of a command. For --help and for invalid arguments,
/// prints the help or an error, sets `status` and returns nothing.
std::optional<cxxopts::ParseResult>
parse_arguments(cxxopts::Options& options,
                std::string_view example,
                std::vector<std::string> const& arguments,
                int& status);

/// Reads a file. Prints an error and returns nothing if it cannot be read.
std::optional<std::string> read_file(std::string const& path);

/// Prints all faults of a file to standard error, one per line.
void print_faults(std::string_view path, core::fault_list const& faults);

} // namespace kumquatloom::cli

#endif
