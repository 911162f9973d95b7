#include <kumquatloom/cli/command.hpp>

#include <exception>
#include <iostream>
#include <malloc.h>
#include <platform/platform_command.hpp>

namespace
{

using namespace kumquatloom;

/// Allocations from this size on are mapped on their own and returned when they
/// are freed. Without a fixed value, glibc raises its threshold with the first
/// large message that is freed, and later ones fragment the heap.
constexpr int mapped_allocation_bytes = 128 * 1024;

/// All commands: those of the program itself and those of the platform adapter.
std::vector<cli::command> const& program_commands()
{
    static std::vector<cli::command> const commands = []
    {
        auto all = cli::all_commands();
        all.push_back({"platform",
                       "run an entry instance on the shared platform",
                       platform::run_platform});
        return all;
    }();
    return commands;
}

void print_overview(std::ostream& out)
{
    out << "kumquatloom: a proxy fleet for upstreams with gray failures\n\n"
           "usage: kumquatloom COMMAND [OPTION...]\n\ncommands:\n";
    for (auto const& command : program_commands())
    {
        std::string name(command.name);
        name.resize(12, ' ');
        out << "  " << name << command.summary << '\n';
    }
    out << "\n'kumquatloom COMMAND --help' shows a command's options and an "
           "example.\n";
}

int run_command(std::vector<std::string> const& arguments)
{
    if (arguments.empty())
    {
        print_overview(std::cerr);
        return cli::exit_usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "help")
    {
        print_overview(std::cout);
        return cli::exit_success;
    }
    for (auto const& command : program_commands())
        if (command.name == arguments.front())
            return command.run({arguments.begin() + 1, arguments.end()});
    std::cerr << "unknown command '" << arguments.front() << "'\n\n";
    print_overview(std::cerr);
    return cli::exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    ::mallopt(M_MMAP_THRESHOLD, mapped_allocation_bytes);
    try
    {
        return run_command({argv + 1, argv + argc});
    }
    catch (std::exception const& error)
    {
        std::cerr << "kumquatloom: " << error.what() << '\n';
        return cli::exit_failure;
    }
}
