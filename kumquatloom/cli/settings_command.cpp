#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <cxxopts.hpp>

#include <iostream>

namespace kumquatloom::cli
{

int run_settings(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom settings",
                             "Prints the default settings; the documentation "
                             "explains every key.");
    options.add_options()("defaults", "print all default settings");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom settings --defaults > settings.json",
                        arguments,
                        status);
    if (!parsed)
        return status;
    if (parsed->count("defaults") == 0)
    {
        std::cerr << "--defaults is missing\n\n" << options.help();
        return exit_usage;
    }
    std::cout << settings::default_settings_text();
    return exit_success;
}

} // namespace kumquatloom::cli
