#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/document_options.hpp>
#include <kumquatloom/cli/log_session.hpp>
#include <kumquatloom/cli/operator_client.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <cctype>
#include <iostream>

namespace kumquatloom::cli
{

namespace
{

/// Parameters of an edit command.
struct edit_request
{
    /// The edit; sign() sets its base and signature.
    document::edit_record edit;
    /// Private key of the author.
    document::signing_key key;
    /// Version that the edit is based on, if given on the command line.
    std::optional<core::log_offset> base;
    /// Time to wait for the outcome.
    std::chrono::milliseconds timeout{10000};
};

/// Reads a private key file written by the keygen command.
std::optional<document::signing_key> read_key(std::string const& path)
{
    auto text = read_file(path);
    if (!text)
        return std::nullopt;
    std::erase_if(*text,
                  [](unsigned char character)
                  {
                      return std::isspace(character) != 0;
                  });
    auto const bytes = core::from_hex(*text);
    auto key = bytes ? document::signing_key::from_bytes(*bytes) : std::nullopt;
    if (!key)
        std::cerr << path << ": not a private key of 64 hex digits\n";
    return key;
}

/// Signs the edit, which is based on `current_version` unless the command line
/// gives another version.
void sign(edit_request& request, core::log_offset current_version)
{
    request.edit.base = request.base.value_or(current_version);
    request.edit.signature = request.key.sign(request.edit.signed_bytes());
}

/// Prints the result of the edit; returns the exit status.
int print_report(document::edit_report const& report)
{
    using document::edit_result;
    using document::edit_verdict;
    auto const& outcome = report.outcome;
    std::cout << document::to_string(report.result) << ": edit " << report.id;
    if (outcome && report.result == edit_result::accepted)
        std::cout << " is version " << outcome->offset;
    else if (outcome && outcome->verdict == edit_verdict::stale_base)
        std::cout << " was made from version " << outcome->base
                  << ", but the section is at version "
                  << outcome->section_version << " (stale_base)";
    else if (outcome && outcome->verdict == edit_verdict::unknown_base)
        std::cout << " was made from version " << outcome->base
                  << ", which the document has not reached (unknown_base)";
    else if (outcome)
        std::cout << ' ' << document::to_string(outcome->verdict);
    if (outcome && !outcome->detail.empty())
        std::cout << "; " << outcome->detail;
    if (!outcome && !report.reason.empty())
        std::cout << "; " << report.reason;
    std::cout << '\n';
    if (report.result == edit_result::accepted)
        return exit_success;
    if (report.result == edit_result::rejected)
        return exit_failure;
    std::cout << "To find out, run: kumquatloom document history --log IP:PORT "
                 "--id "
              << report.id << '\n';
    return exit_unknown;
}

int edit_through_instance(settings::endpoint const& address,
                          edit_request request)
{
    operator_client client(address);
    core::log_offset current_version = 0;
    // The edit that creates the document is not based on a version.
    if (!request.base && request.edit.section != document::whole_document)
    {
        auto const fetched = client.document({});
        if (!fetched)
        {
            std::cerr << "instance " << settings::to_string(address) << ": "
                      << fetched.error().reason << "; nothing was sent\n";
            return exit_failure;
        }
        current_version = fetched.value().version;
    }
    sign(request, current_version);
    return print_report(client.append(request.edit));
}

int edit_through_log(settings::endpoint const& address, edit_request request)
{
    log_session session(address);
    if (auto const reason = session.read_to_end())
    {
        std::cerr << *reason << "; nothing was appended\n";
        return exit_failure;
    }
    sign(request, session.reducer().state().document.version);
    // Apply the edit locally first, to avoid appending one that would be
    // rejected.
    auto trial_reducer = session.reducer();
    trial_reducer.reduce(
        {trial_reducer.state().next, document::to_text(request.edit)});
    auto const* const outcome = trial_reducer.find_outcome(request.edit.id);
    if (outcome != nullptr &&
        outcome->verdict != document::edit_verdict::accepted)
    {
        auto const status = print_report(document::report_of(*outcome));
        std::cout << "Nothing was appended to the log.\n";
        return status;
    }
    return print_report(session.append(request.edit, request.timeout));
}

std::optional<edit_request> read_request(cxxopts::ParseResult const& parsed)
{
    auto const section = required_text(parsed, "section");
    auto const author = required_text(parsed, "author");
    auto const key_path = required_text(parsed, "key");
    bool const is_removal = parsed.count("remove") != 0;
    auto const path = is_removal ? std::optional(std::string())
                                 : required_text(parsed, "file");
    if (!section || !author || !key_path || !path)
        return std::nullopt;
    auto key = read_key(*key_path);
    auto content = is_removal ? std::optional(std::string()) : read_file(*path);
    if (!key || !content)
        return std::nullopt;
    edit_request request{{}, *key, {}, {}};
    request.edit.id = document::random_record_id();
    request.edit.section = *section;
    request.edit.author = *author;
    request.edit.content = std::move(*content);
    if (parsed.count("base") != 0)
        request.base = parsed["base"].as<core::log_offset>();
    request.timeout =
        std::chrono::milliseconds(parsed["timeout-ms"].as<unsigned>());
    return request;
}

cxxopts::Options edit_options()
{
    using text = std::string;
    cxxopts::Options options(
        "kumquatloom document edit",
        "Replaces one section of the document and waits for the decision. The "
        "exit status is 0 if it was accepted, 1 if it was rejected and 3 if "
        "the outcome is unknown. The section * creates the document.");
    auto add = options.add_options();
    add("log", "the platform's log", cxxopts::value<text>(), "IP:PORT");
    add("operators",
        "an instance's operators' port, instead of the log",
        cxxopts::value<text>(),
        "IP:PORT");
    add("section",
        "a section, or owners, fleet or *",
        cxxopts::value<text>(),
        "NAME");
    add("file", "the new section", cxxopts::value<text>(), "FILE");
    add("remove", "remove the section, instead of --file");
    add("key", "the author's private key", cxxopts::value<text>(), "FILE");
    add("author", "the owner who edits", cxxopts::value<text>(), "OWNER");
    add("base",
        "the version that the edit was made from; the current one by default",
        cxxopts::value<core::log_offset>(),
        "N");
    add("timeout-ms",
        "time to wait for the decision",
        cxxopts::value<unsigned>()->default_value("10000"),
        "N");
    return options;
}

} // namespace

int run_document_edit(std::vector<std::string> const& arguments)
{
    auto options = edit_options();
    int status = exit_success;
    auto const parsed = parse_arguments(
        options,
        "kumquatloom document edit --log 127.0.0.1:9000 --section storefront "
        "--file storefront.json --key shop-team.key --author shop-team",
        arguments,
        status);
    if (!parsed)
        return status;
    bool const uses_instance = parsed->count("operators") != 0;
    auto const address =
        required_endpoint(*parsed, uses_instance ? "operators" : "log");
    auto request = read_request(*parsed);
    if (!address || !request)
        return exit_usage;
    return uses_instance ? edit_through_instance(*address, std::move(*request))
                         : edit_through_log(*address, std::move(*request));
}

} // namespace kumquatloom::cli
