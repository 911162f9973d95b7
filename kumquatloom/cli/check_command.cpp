#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/document/parse_document.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <cxxopts.hpp>

#include <iostream>

namespace kumquatloom::cli
{

int run_check(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom check",
                             "Checks a file and prints every fault. The exit "
                             "status is 0 for a clean file and 2 otherwise.");
    options.add_options()("settings",
                          "settings file of an instance",
                          cxxopts::value<std::string>(),
                          "FILE")(
        "document", "a whole document", cxxopts::value<std::string>(), "FILE");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom check --settings settings.json",
                        arguments,
                        status);
    if (!parsed)
        return status;
    bool const is_document = parsed->count("document") != 0;
    if (is_document == (parsed->count("settings") != 0))
    {
        std::cerr << "either --settings or --document is needed\n\n"
                  << options.help();
        return exit_usage;
    }
    auto const path =
        (*parsed)[is_document ? "document" : "settings"].as<std::string>();
    auto const text = read_file(path);
    if (!text)
        return exit_usage;
    core::fault_list faults;
    if (is_document)
        document::parse_document(*text, faults);
    else
        settings::parse_instance_settings(*text, faults);
    print_faults(path, faults);
    if (!faults.empty())
        return exit_usage;
    std::cout << path << ": no faults\n";
    return exit_success;
}

} // namespace kumquatloom::cli
