#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/cli/document_options.hpp>

#include <iostream>

namespace kumquatloom::cli
{

namespace
{

std::vector<command> const& document_commands()
{
    static std::vector<command> const commands = {
        {"show", "print the document or one part of it", run_document_show},
        {"edit", "replace one part of the document", run_document_edit},
        {"history", "print the decisions on edits", run_document_history},
        {"publish", "wait until a version is in force", run_document_publish},
        {"keygen", "generate a key pair for an owner", run_document_keygen},
    };
    return commands;
}

void print_document_overview(std::ostream& out)
{
    out << "usage: kumquatloom document COMMAND [OPTION...]\n\ncommands:\n";
    for (auto const& item : document_commands())
    {
        std::string name(item.name);
        name.resize(12, ' ');
        out << "  " << name << item.summary << '\n';
    }
    out << "\nexample:\n  kumquatloom document show --log 127.0.0.1:9000 "
           "--section storefront\n";
}

} // namespace

int run_document(std::vector<std::string> const& arguments)
{
    if (arguments.empty())
    {
        print_document_overview(std::cerr);
        return exit_usage;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h")
    {
        print_document_overview(std::cout);
        return exit_success;
    }
    for (auto const& item : document_commands())
        if (item.name == arguments.front())
            return item.run({arguments.begin() + 1, arguments.end()});
    std::cerr << "unknown command 'document " << arguments.front() << "'\n\n";
    print_document_overview(std::cerr);
    return exit_usage;
}

} // namespace kumquatloom::cli
