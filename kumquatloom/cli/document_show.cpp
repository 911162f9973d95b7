#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/document_options.hpp>
#include <kumquatloom/cli/log_session.hpp>
#include <kumquatloom/cli/operator_client.hpp>

#include <cxxopts.hpp>

#include <iostream>

namespace kumquatloom::cli
{

namespace
{

int show_from_instance(settings::endpoint const& address,
                       std::string const& section)
{
    auto const response = operator_client(address).document(section);
    if (!response)
    {
        std::cerr << "instance " << settings::to_string(address) << ": "
                  << response.error().reason << '\n';
        return exit_failure;
    }
    std::cerr << "version " << response.value().version << '\n';
    std::cout << response.value().text << '\n';
    return exit_success;
}

int show_from_log(settings::endpoint const& address, std::string const& section)
{
    log_session session(address);
    if (auto const reason = session.read_to_end())
    {
        std::cerr << *reason << '\n';
        return exit_failure;
    }
    auto const& document = session.reducer().state().document;
    if (!document.created)
    {
        std::cerr << "the log holds no document yet\n";
        return exit_failure;
    }
    auto const text = document::to_text(document, section);
    if (text.empty())
    {
        std::cerr << "there is no section " << section << '\n';
        return exit_failure;
    }
    std::cerr << "version " << document.version << '\n';
    std::cout << text << '\n';
    return exit_success;
}

void print_outcome(document::edit_outcome const& outcome)
{
    std::cout << outcome.offset << ' ' << outcome.id << ' ' << outcome.section
              << ' ' << outcome.author << ' '
              << document::to_string(outcome.verdict) << " base "
              << outcome.base << " section version " << outcome.section_version;
    if (!outcome.detail.empty())
        std::cout << ": " << outcome.detail;
    std::cout << '\n';
}

} // namespace

int run_document_show(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom document show",
                             "Prints the document, or one part of it, on "
                             "standard output and its version on standard "
                             "error.");
    options.add_options()(
        "log", "the platform's log", cxxopts::value<std::string>(), "IP:PORT")(
        "operators",
        "an instance's operators' port, instead "
        "of the log",
        cxxopts::value<std::string>(),
        "IP:PORT")("section",
                   "a section, or owners or fleet",
                   cxxopts::value<std::string>()->default_value(""),
                   "NAME");
    int status = exit_success;
    auto const parsed = parse_arguments(
        options,
        "kumquatloom document show --log 127.0.0.1:9000 --section storefront",
        arguments,
        status);
    if (!parsed)
        return status;
    bool const uses_instance = parsed->count("operators") != 0;
    auto const address =
        required_endpoint(*parsed, uses_instance ? "operators" : "log");
    if (!address)
        return exit_usage;
    auto const section = (*parsed)["section"].as<std::string>();
    return uses_instance ? show_from_instance(*address, section)
                         : show_from_log(*address, section);
}

int run_document_history(std::vector<std::string> const& arguments)
{
    cxxopts::Options options(
        "kumquatloom document history",
        "Prints the decisions about the latest edits, the newest last: offset, "
        "id, section, author, decision, the version that the edit was made "
        "from and the version of the section at that time.");
    options.add_options()("log",
                          "the platform's log",
                          cxxopts::value<std::string>(),
                          "IP:PORT")("id",
                                     "print only the edit with this id",
                                     cxxopts::value<std::string>(),
                                     "ID");
    int status = exit_success;
    auto const parsed =
        parse_arguments(options,
                        "kumquatloom document history --log 127.0.0.1:9000",
                        arguments,
                        status);
    if (!parsed)
        return status;
    auto const address = required_endpoint(*parsed, "log");
    if (!address)
        return exit_usage;
    log_session session(*address);
    if (auto const reason = session.read_to_end())
    {
        std::cerr << *reason << '\n';
        return exit_failure;
    }
    auto const& reducer = session.reducer();
    if (parsed->count("id") == 0)
    {
        for (auto const& outcome : reducer.state().outcomes)
            print_outcome(outcome);
        return exit_success;
    }
    auto const id = (*parsed)["id"].as<std::string>();
    auto const* const outcome = reducer.find_outcome(id);
    if (outcome != nullptr)
    {
        print_outcome(*outcome);
        return exit_success;
    }
    std::cerr << "the edit " << id << " is not in the log, or older than the "
              << document::max_recent_records << " edits that are retained\n";
    return exit_unknown;
}

} // namespace kumquatloom::cli
