#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/cli/operator_request.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cxxopts.hpp>

#include <iomanip>
#include <iostream>

namespace kumquatloom::cli
{

namespace
{

/// Width of the name column.
constexpr int name_width = 36;

/// Prints each member of the object on one line. The name of a nested member is
/// its path.
void print_members(std::string const& path, boost::json::object const& object)
{
    for (auto const& member : object)
    {
        std::string const name = path + std::string(member.key());
        auto const& value = member.value();
        if (value.is_object())
        {
            print_members(name + '.', value.get_object());
            continue;
        }
        std::cout << std::left << std::setw(name_width) << name << ' ';
        if (value.is_string())
            std::cout << std::string_view(value.get_string()) << '\n';
        else
            std::cout << boost::json::serialize(value) << '\n';
    }
}

int print_status(operator_response const& response, bool as_json)
{
    if (as_json)
    {
        std::cout << response.body;
        return exit_success;
    }
    boost::system::error_code error;
    auto const value = boost::json::parse(response.body, error);
    if (error || !value.is_object())
    {
        std::cerr << "the instance's response is not a JSON object\n";
        return exit_failure;
    }
    print_members("", value.get_object());
    return exit_success;
}

} // namespace

int run_status(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom status",
                             "Shows the state of an entry instance.");
    auto add = options.add_options();
    add("operators",
        "operators' port of the instance",
        cxxopts::value<std::string>(),
        "IP:PORT");
    add("json", "print the JSON response of the instance");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom status --operators 127.0.0.1:8081",
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
    auto const response = send_operator_request(address, "GET", "/status");
    if (!response)
        return exit_failure;
    if (response->status != 200)
    {
        std::cerr << address << ": responded with status " << response->status
                  << '\n';
        return exit_failure;
    }
    return print_status(*response, parsed->count("json") != 0);
}

} // namespace kumquatloom::cli
