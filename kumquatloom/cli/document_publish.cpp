#include <kumquatloom/cli/blocking.hpp>
#include <kumquatloom/cli/command.hpp>
#include <kumquatloom/cli/command_line.hpp>
#include <kumquatloom/cli/document_options.hpp>
#include <kumquatloom/cli/log_session.hpp>
#include <kumquatloom/cli/operator_client.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/log_service/instance_list_client.hpp>

#include <cxxopts.hpp>

#include <iostream>
#include <thread>

namespace kumquatloom::cli
{

namespace
{

using namespace std::chrono_literals;

/// Time between two rounds of status requests.
constexpr auto poll_interval = 100ms;

/// An instance whose status is polled until the version is in force on it.
struct polled_instance
{
    /// Endpoint for operators.
    settings::endpoint address;
    /// Name of the instance, or its address until the name is known.
    std::string name;
    /// Why the version is not in force on the instance; empty if it is.
    std::string pending_reason = "no status received yet";
};

/// Adds the instances given with --operators. Prints an error and returns false
/// if an address is malformed.
bool add_operators(cxxopts::ParseResult const& parsed,
                   std::vector<polled_instance>& instances)
{
    if (parsed.count("operators") == 0)
        return true;
    for (auto const& text : parsed["operators"].as<std::vector<std::string>>())
    {
        auto const address = settings::parse_endpoint(text);
        if (!address)
        {
            std::cerr << "--operators: '" << text
                      << "' is not an IP address and a port, ip:port\n";
            return false;
        }
        instances.push_back({*address, text});
    }
    return true;
}

/// Adds the live entry instances of the platform's list. The list contains no
/// ports for operators, so the same port is used for all instances. Prints an
/// error and returns false on failure.
bool add_listed_instances(cxxopts::ParseResult const& parsed,
                          std::vector<polled_instance>& instances)
{
    if (parsed.count("instances") == 0)
        return true;
    auto const address = required_endpoint(parsed, "instances");
    if (!address)
        return false;
    if (parsed.count("operators-port") == 0)
    {
        std::cerr << "--instances needs --operators-port\n";
        return false;
    }
    auto const list =
        run_blocking(log_service::instance_list_client(*address).read());
    if (!list)
    {
        std::cerr << "the instance list cannot be read ("
                  << log_service::to_string(list.error()) << ")\n";
        return false;
    }
    auto const port = parsed["operators-port"].as<std::uint16_t>();
    for (auto const& entry : list.value().entries)
        if (!entry.leaving)
            instances.push_back({{entry.host, port}, entry.id.value()});
    return true;
}

/// Returns the version to wait for. Prints an error and returns nothing on
/// failure.
std::optional<core::log_offset>
requested_version(cxxopts::ParseResult const& parsed)
{
    if (parsed.count("version") != 0)
        return parsed["version"].as<core::log_offset>();
    auto const log = required_endpoint(parsed, "log");
    if (!log)
        return std::nullopt;
    log_session session(*log);
    if (auto const reason = session.read_to_end())
    {
        std::cerr << *reason << '\n';
        return std::nullopt;
    }
    return session.reducer().state().document.version;
}

void poll_status(polled_instance& instance, core::log_offset version)
{
    auto const status = operator_client(instance.address, 1s).status();
    if (!status)
    {
        instance.pending_reason = status.error().reason;
        return;
    }
    instance.name = status.value().name;
    auto const current = status.value().document_version;
    instance.pending_reason =
        current >= version ? "" : "it is at version " + std::to_string(current);
}

/// Polls until the version is in force on all instances or the timeout expires;
/// returns the number of instances on which it is in force.
std::size_t wait_for(core::log_offset version,
                     std::chrono::milliseconds timeout,
                     std::vector<polled_instance>& instances)
{
    auto const deadline = core::clock::now() + timeout;
    for (;;)
    {
        std::size_t in_force = 0;
        for (auto& instance : instances)
        {
            // The version in force on an instance never decreases, so an
            // instance that has reached the requested one is not polled again.
            if (!instance.pending_reason.empty())
                poll_status(instance, version);
            in_force += instance.pending_reason.empty() ? 1 : 0;
        }
        if (in_force == instances.size() || core::clock::now() >= deadline)
            return in_force;
        std::this_thread::sleep_for(poll_interval);
    }
}

cxxopts::Options publish_options()
{
    cxxopts::Options options(
        "kumquatloom document publish",
        "Waits until a version of the document is in force on the given "
        "instances, and prints on how many it is and the names of the others. "
        "The exit status is 0 if it is in force on all of them.");
    auto add = options.add_options();
    add("log",
        "the platform's log; waits for its newest version",
        cxxopts::value<std::string>(),
        "IP:PORT");
    add("version",
        "the version to wait for, instead of --log",
        cxxopts::value<core::log_offset>(),
        "N");
    add("operators",
        "an instance's operators' port; can be repeated",
        cxxopts::value<std::vector<std::string>>(),
        "IP:PORT");
    add("instances",
        "the platform's instance list",
        cxxopts::value<std::string>(),
        "IP:PORT");
    add("operators-port",
        "operators' port of all listed instances",
        cxxopts::value<std::uint16_t>(),
        "PORT");
    add("timeout-ms",
        "time to wait",
        cxxopts::value<unsigned>()->default_value("10000"),
        "N");
    return options;
}

} // namespace

int run_document_publish(std::vector<std::string> const& arguments)
{
    auto options = publish_options();
    int status = exit_success;
    auto const parsed = parse_arguments(
        options,
        "kumquatloom document publish --log 127.0.0.1:9000 --operators "
        "127.0.0.1:8081 --operators 127.0.0.1:8181",
        arguments,
        status);
    if (!parsed)
        return status;
    std::vector<polled_instance> instances;
    if (!add_operators(*parsed, instances) ||
        !add_listed_instances(*parsed, instances))
        return exit_usage;
    if (instances.empty())
    {
        std::cerr << "--operators or --instances must name an instance\n";
        return exit_usage;
    }
    auto const version = requested_version(*parsed);
    if (!version)
        return exit_failure;
    auto const timeout =
        std::chrono::milliseconds((*parsed)["timeout-ms"].as<unsigned>());
    auto const in_force = wait_for(*version, timeout, instances);
    std::cout << "version " << *version << " is in force on " << in_force
              << " of " << instances.size() << " instances\n";
    for (auto const& instance : instances)
        if (!instance.pending_reason.empty())
            std::cout << "not in force on " << instance.name << ": "
                      << instance.pending_reason << '\n';
    return in_force == instances.size() ? exit_success : exit_failure;
}

} // namespace kumquatloom::cli
