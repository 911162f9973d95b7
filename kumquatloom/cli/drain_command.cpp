#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/cli/operator_request.hpp>

#include <cxxopts.hpp>

#include <iostream>

namespace kumquatloom::cli
{

int run_drain(std::vector<std::string> const& arguments)
{
    cxxopts::Options options(
        "kumquatloom drain",
        "Shuts down an entry instance gracefully: it serves "
        "until no caller can still have its address "
        "cached, completes its last request and exits.");
    options.add_options()("operators",
                          "operators' port of the instance",
                          cxxopts::value<std::string>(),
                          "IP:PORT");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom drain --operators 127.0.0.1:8081",
                        arguments,
                        status);
    if (!parsed)
        return status;
    if (parsed->count("operators") == 0)
    {
        std::cerr << "--operators is missing\n\n" << options.help();
        return exit_usage;
    }
    auto const address = (*parsed)["operators"].as<std::string>();
    auto const response = send_operator_request(address, "POST", "/drain");
    if (!response)
        return exit_failure;
    if (response->status != 202)
    {
        std::cerr << address << ": responded with status " << response->status
                  << '\n';
        return exit_failure;
    }
    std::cout << address << ": leaving\n";
    return exit_success;
}

} // namespace kumquatloom::cli
