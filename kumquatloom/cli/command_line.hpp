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

/// Parses a command's arguments with its options. Answers --help and wrong
/// arguments itself; then `status` is set and nothing is returned.
std::optional<cxxopts::ParseResult>
parse_arguments(cxxopts::Options& options,
                std::string_view example,
                std::vector<std::string> const& arguments,
                int& status);

/// The bytes of a file; nothing, after an error line, if it is unreadable.
std::optional<std::string> read_file(std::string const& path);

/// Prints every fault of a file on standard error, one per line.
void print_faults(std::string_view path, core::fault_list const& faults);

} // namespace kumquatloom::cli

#endif
