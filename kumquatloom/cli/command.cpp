#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/commands.hpp>

namespace kumquatloom::cli
{

std::vector<command> const& all_commands()
{
    static std::vector<command> const commands = {
        {"check", "check a settings file or a document", run_check},
        {"document", "show, edit and publish the document", run_document},
        {"explain", "explain from logs why a request failed", run_explain},
        {"entries",
         "list the entry instances that callers should use",
         run_entries},
        {"settings", "print the default settings", run_settings},
        {"serve", "run an entry instance", run_serve},
        {"status", "show the state of an entry instance", run_status},
        {"drain", "shut down an entry instance gracefully", run_drain},
    };
    return commands;
}

} // namespace kumquatloom::cli
