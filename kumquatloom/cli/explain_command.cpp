#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/commands.hpp>
#include <kumquatloom/explain/trace_index.hpp>

#include <cxxopts.hpp>

#include <iomanip>
#include <iostream>

namespace kumquatloom::cli
{

namespace
{

/// Prints how often each cause was found, the most frequent one first.
void print_cause_counts(explain::trace_index const& traces)
{
    auto const counts = traces.counts_by_cause();
    std::multimap<std::size_t, explain::failure_cause, std::greater<>> sorted;
    for (std::size_t i = 0; i < counts.size(); ++i)
        if (counts[i] != 0)
            sorted.emplace(counts[i], static_cast<explain::failure_cause>(i));
    std::cout << traces.size() << " requests\n";
    for (auto const& [count, cause] : sorted)
        std::cout << std::setw(9) << count << "  " << to_string(cause) << '\n';
    if (traces.dropped_lines() != 0)
        std::cout << traces.dropped_lines() << " lines were dropped\n";
}

int print_trace(explain::request_trace const& trace)
{
    for (auto const& line : trace.timeline())
    {
        std::cout << line.time_ms << ' ' << line.instance << ' ' << line.event;
        for (auto const& [name, value] : line.fields)
            if (name != "time_ms" && name != "instance" && name != "event" &&
                name != "level" && name != "incarnation" && name != "request")
                std::cout << ' ' << name << '=' << value;
        std::cout << '\n';
    }
    auto const missing_lines = trace.missing_lines();
    if (!missing_lines.empty())
        std::cout << "incomplete: " << missing_lines << '\n';
    std::cout << "cause: " << trace.summary() << '\n';
    return trace.cause() == explain::failure_cause::unknown ? exit_failure
                                                            : exit_success;
}

} // namespace

int run_explain(std::vector<std::string> const& arguments)
{
    cxxopts::Options options("kumquatloom explain",
                             "Reads logs of instances from standard input and "
                             "says why a request was not served in time, or "
                             "counts the causes of all.");
    options.add_options()("request",
                          "id of the request",
                          cxxopts::value<std::string>(),
                          "ID")("ledger", "count the causes of all requests");
    options.parse_positional({"request"});
    options.positional_help("ID");
    int status = exit_success;
    auto const parsed = parse_arguments(options,
                                        "kumquatloom explain "
                                        "9c41d07be2a35f68 < logs",
                                        arguments,
                                        status);
    if (!parsed)
        return status;
    bool const wants_cause_counts = parsed->count("ledger") != 0;
    if (wants_cause_counts == (parsed->count("request") != 0))
    {
        std::cerr << "either a request or --ledger is needed\n\n"
                  << options.help();
        return exit_usage;
    }
    explain::trace_index traces;
    if (wants_cause_counts)
    {
        traces.read(std::cin, {});
        print_cause_counts(traces);
        return exit_success;
    }
    auto const id = (*parsed)["request"].as<std::string>();
    traces.read(std::cin, id);
    return print_trace(traces.trace(id));
}

} // namespace kumquatloom::cli
