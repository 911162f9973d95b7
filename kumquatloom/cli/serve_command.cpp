#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/core/logging.hpp>
#include <kumquatloom/entry/entry_instance.hpp>
#include <kumquatloom/settings/instance_settings.hpp>

#include <cxxopts.hpp>

#include <iostream>
#include <utility>

namespace kumquatloom::cli
{

namespace
{

/// Reads and checks the settings. Prints the faults and returns nothing if
/// there are any.
std::optional<settings::instance_settings>
read_settings(std::string const& path)
{
    auto const text = read_file(path);
    if (!text)
        return std::nullopt;
    core::fault_list faults;
    auto settings = settings::parse_instance_settings(*text, faults);
    print_faults(path, faults);
    if (!faults.empty())
        return std::nullopt;
    return settings;
}

int serve(settings::instance_settings settings)
{
    core::configure_logging(settings.log_level,
                            core::log_output::standard_output);
    entry::entry_instance instance(std::move(settings),
                                   entry::entry_instance::default_grace,
                                   entry::fleet_mode::member);
    instance.leave_on_signals();
    instance.wait();
    core::log_info("stopped");
    core::flush_log();
    return exit_success;
}

} // namespace

int run_serve(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom serve",
                             "Runs an entry instance. SIGTERM shuts it down "
                             "gracefully, without interrupting a request.");
    auto add = options.add_options();
    add("settings",
        "settings file of the instance",
        cxxopts::value<std::string>(),
        "FILE");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom serve --settings settings.json",
                        arguments,
                        status);
    if (!parsed)
        return status;
    if (parsed->count("settings") == 0)
    {
        std::cerr << "--settings is missing\n\n" << options.help();
        return exit_usage;
    }
    auto settings = read_settings((*parsed)["settings"].as<std::string>());
    if (!settings)
        return exit_usage;
    return serve(std::move(*settings));
}

} // namespace kumquatloom::cli
