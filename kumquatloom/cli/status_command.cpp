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

/// Width of the column of names.
constexpr int name_width = 36;

/// Prints each member of the object on a line of its own; nested members have
/// their path as name.
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

int print_status(operator_answer const& answer, bool as_json)
{
    if (as_json)
    {
        std::cout << answer.body;
        return exit_success;
    }
    boost::system::error_code error;
    auto const value = boost::json::parse(answer.body, error);
    if (error || !value.is_object())
    {
        std::cerr << "the instance's answer is not a JSON object\n";
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
    add("json", "print the JSON that the instance answers");
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
    auto const answer = ask_instance(address, "GET", "/status");
    if (!answer)
        return exit_failure;
    if (answer->status != 200)
    {
        std::cerr << address << ": answered with status " << answer->status
                  << '\n';
        return exit_failure;
    }
    return print_status(*answer, parsed->count("json") != 0);
}

} // namespace kumquatloom::cli
