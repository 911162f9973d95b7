#ifndef KUMQUATLOOM_CLI_DOCUMENT_OPTIONS_HPP
#define KUMQUATLOOM_CLI_DOCUMENT_OPTIONS_HPP

#include <kumquatloom/settings/endpoint.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cxxopts
{
class ParseResult;
} // namespace cxxopts

namespace kumquatloom::cli
{

/// Exit status if the outcome of an edit is unknown.
constexpr int exit_unknown = 3;

/// Prints the current document or one part of it.
int run_document_show(std::vector<std::string> const& arguments);
/// Replaces one part of the document.
int run_document_edit(std::vector<std::string> const& arguments);
/// Prints the outcomes of recent edits.
int run_document_history(std::vector<std::string> const& arguments);
/// Waits until a version is in force on all instances.
int run_document_publish(std::vector<std::string> const& arguments);
/// Generates a key pair for an owner.
int run_document_keygen(std::vector<std::string> const& arguments);

/// Returns the address given in an option. Prints an error and returns nothing
/// if it is missing or malformed.
std::optional<settings::endpoint>
required_endpoint(cxxopts::ParseResult const& parsed,
                  std::string const& option);

/// Returns the text given in an option. Prints an error and returns nothing if
/// it is missing.
std::optional<std::string> required_text(cxxopts::ParseResult const& parsed,
                                         std::string const& option);

} // namespace kumquatloom::cli

#endif
