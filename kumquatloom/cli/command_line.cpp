#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>

#include <cxxopts.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace kumquatloom::cli
{

std::optional<cxxopts::ParseResult>
parse_arguments(cxxopts::Options& options,
                std::string_view example,
                std::vector<std::string> const& arguments,
                int& status)
{
    options.add_options()("h,help", "show this help");
    std::vector<char const*> pointers{"kumquatloom"};
    for (auto const& argument : arguments)
        pointers.push_back(argument.c_str());
    try
    {
        auto parsed =
            options.parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") != 0)
        {
            std::cout << options.help() << "\nexample:\n  " << example << '\n';
            status = exit_success;
            return std::nullopt;
        }
        if (!parsed.unmatched().empty())
        {
            std::cerr << "unexpected argument '" << parsed.unmatched().front()
                      << "'\n";
            status = exit_usage;
            return std::nullopt;
        }
        return parsed;
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << error.what() << "\n\n" << options.help();
        status = exit_usage;
        return std::nullopt;
    }
}

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    // A directory can be opened but not read, so check the read as well.
    if (!file || !(text << file.rdbuf()))
    {
        std::cerr << path << ": cannot be read: " << std::strerror(errno)
                  << '\n';
        return std::nullopt;
    }
    return text.str();
}

void print_faults(std::string_view path, core::fault_list const& faults)
{
    for (auto const& fault : faults)
        std::cerr << path << ": " << fault << '\n';
}

} // namespace kumquatloom::cli
