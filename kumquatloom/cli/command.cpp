#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/commands.hpp>

namespace kumquatloom::cli
{

std::vector<command> const& all_commands()
{
    static std::vector<command> const commands = {
        {"check", "check a settings file or a document", run_check},
        {"document", "show, edit and publish the document", run_document},
        {"explain", "say from logs why a request failed", run_explain},
        {"entries", "ask which entry instances to use", run_entries},
        {"settings", "print the default settings", run_settings},
        {"serve", "run an entry instance", run_serve},
        {"status", "show the state of an entry instance", run_status},
        {"drain", "let an entry instance leave", run_drain},
    };
    return commands;
}

} // namespace kumquatloom::cli
