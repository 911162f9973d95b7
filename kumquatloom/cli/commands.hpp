#ifndef KUMQUATLOOM_CLI_COMMANDS_HPP
#define KUMQUATLOOM_CLI_COMMANDS_HPP

#include <string>
#include <vector>

namespace kumquatloom::cli
{

/// Checks a settings file or a document and prints every fault.
int run_check(std::vector<std::string> const& arguments);
/// Shows, edits and publishes the document.
int run_document(std::vector<std::string> const& arguments);
/// Asks an instance which entry instances callers should use.
int run_entries(std::vector<std::string> const& arguments);
/// Prints the default settings.
int run_settings(std::vector<std::string> const& arguments);
/// Runs an entry instance until it has left.
int run_serve(std::vector<std::string> const& arguments);
/// Shows the state of an entry instance.
int run_status(std::vector<std::string> const& arguments);
/// Says from logs why a request was not served in time.
int run_explain(std::vector<std::string> const& arguments);
/// Lets an entry instance leave.
int run_drain(std::vector<std::string> const& arguments);

} // namespace kumquatloom::cli

#endif
