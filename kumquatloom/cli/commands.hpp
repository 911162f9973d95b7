#ifndef KUMQUATLOOM_CLI_COMMANDS_HPP
#define KUMQUATLOOM_CLI_COMMANDS_HPP

#include <string>
#include <vector>

namespace kumquatloom::cli
{

/// Checks a settings file or a document and prints all faults.
int run_check(std::vector<std::string> const& arguments);
/// Shows, edits and publishes the document.
int run_document(std::vector<std::string> const& arguments);
/// Lists the entry instances that callers should use.
int run_entries(std::vector<std::string> const& arguments);
/// Prints the default settings.
int run_settings(std::vector<std::string> const& arguments);
/// Runs an entry instance until it has shut down.
int run_serve(std::vector<std::string> const& arguments);
/// Shows the state of an entry instance.
int run_status(std::vector<std::string> const& arguments);
/// Explains from logs why a request was not served in time.
int run_explain(std::vector<std::string> const& arguments);
/// Shuts down an entry instance gracefully.
int run_drain(std::vector<std::string> const& arguments);

} // namespace kumquatloom::cli

#endif
