#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <functional>
#include <iostream>
#include <stand_ins/http_caller.hpp>
#include <stand_ins/instance_list_stand_in.hpp>
#include <stand_ins/load_generator.hpp>
#include <stand_ins/log_stand_in.hpp>
#include <stand_ins/upstream_stand_in.hpp>
#include <stdexcept>

namespace
{

using namespace kumquatloom;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

/// Timeout of a command's request.
constexpr milliseconds command_timeout{5000};

settings::endpoint endpoint_option(cxxopts::ParseResult const& options,
                                   std::string const& name)
{
    auto const address =
        settings::parse_endpoint(options[name].as<std::string>());
    if (!address)
        throw std::runtime_error("--" + name + " takes ip:port");
    return *address;
}

/// Prints the bound address and runs until SIGTERM or SIGINT.
void serve(asio::io_context& context, settings::endpoint const& address)
{
    std::cout << to_string(address) << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](auto, auto)
        {
            context.stop();
        });
    context.run();
}

int run_log(cxxopts::ParseResult const& options)
{
    asio::io_context context(1);
    stand_ins::log_stand_in_settings settings;
    settings.retained_records = options["retained"].as<std::size_t>();
    stand_ins::log_stand_in const log(
        context, endpoint_option(options, "listen"), settings);
    serve(context, log.local_endpoint());
    return 0;
}

int run_list(cxxopts::ParseResult const& options)
{
    asio::io_context context(1);
    stand_ins::instance_list_stand_in const list(
        context,
        endpoint_option(options, "listen"),
        milliseconds(options["lag-ms"].as<int>()));
    serve(context, list.local_endpoint());
    return 0;
}

/// Sends one request and prints the body of the response.
int send_request(settings::endpoint const& server,
                 http::verb method,
                 std::string const& target,
                 std::string const& body)
{
    asio::io_context context(1);
    int status = 1;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            auto const response = co_await stand_ins::call_once(
                server,
                stand_ins::make_request(method, target, body),
                command_timeout);
            if (!response)
                co_return;
            std::cout << response->body() << '\n';
            status = response->result_int() < 300 ? 0 : 1;
        },
        [](std::exception_ptr const& error)
        {
            if (error)
                std::rethrow_exception(error);
        });
    context.run();
    return status;
}

int run_upstream(cxxopts::ParseResult const& options)
{
    asio::io_context context(1);
    stand_ins::upstream_stand_in_settings settings;
    settings.id = core::upstream_id(options["id"].as<std::string>());
    settings.slots = options["slots"].as<unsigned>();
    settings.service_time = milliseconds(options["service-ms"].as<int>());
    settings.seed = options["seed"].as<std::uint64_t>();
    stand_ins::upstream_stand_in const upstream(
        context, endpoint_option(options, "listen"), settings);
    serve(context, upstream.local_endpoint());
    return 0;
}

/// Adds an instance to the list or replaces it.
int run_register(cxxopts::ParseResult const& options)
{
    auto const address = endpoint_option(options, "address");
    boost::json::object const instance{
        {"id", options["id"].as<std::string>()},
        {"kind", options["kind"].as<std::string>()},
        {"service", options["service"].as<std::string>()},
        {"host", address.host},
        {"port", address.port},
        {"peer_port", options["peer-port"].as<unsigned>()},
        {"failure_domain", options["failure-domain"].as<std::string>()},
        {"region", options["region"].as<std::string>()},
        {"state", options["state"].as<std::string>()}};
    return send_request(endpoint_option(options, "list"),
                        http::verb::post,
                        "/instances",
                        boost::json::serialize(instance));
}

int run_control(cxxopts::ParseResult const& options)
{
    return send_request(endpoint_option(options, "address"),
                        http::verb::post,
                        "/control",
                        options["body"].as<std::string>());
}

int run_get(cxxopts::ParseResult const& options)
{
    return send_request(endpoint_option(options, "address"),
                        http::verb::get,
                        options["target"].as<std::string>(),
                        "");
}

stand_ins::load_settings load_from(cxxopts::ParseResult const& options)
{
    stand_ins::load_settings load;
    for (auto const& text : options["entries"].as<std::vector<std::string>>())
        if (auto const address = settings::parse_endpoint(text))
            load.entries.push_back(*address);
    load.list = endpoint_option(options, "list");
    load.organisation =
        core::organisation_name(options["organisation"].as<std::string>());
    load.credential = options["credential"].as<std::string>();
    load.read_target = options["read"].as<std::string>();
    load.write_target = options["write"].as<std::string>();
    load.write_fraction = options["write-fraction"].as<double>();
    load.rate_per_s = options["rate"].as<double>();
    load.duration = milliseconds(options["length-ms"].as<int>());
    load.deadline = milliseconds(options["deadline-ms"].as<int>());
    load.use_tickets = options["tickets"].as<bool>();
    load.seed = options["seed"].as<std::uint64_t>();
    return load;
}

int run_load(cxxopts::ParseResult const& options)
{
    asio::io_context context(1);
    stand_ins::load_generator generator(load_from(options));
    bool invariants_held = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            auto const report = co_await generator.run();
            std::cout << boost::json::serialize(report.to_json()) << '\n';
            invariants_held = report.invariants_hold();
            context.stop();
        },
        [](std::exception_ptr const& error)
        {
            if (error)
                std::rethrow_exception(error);
        });
    context.run();
    return invariants_held ? 0 : 1;
}

cxxopts::Options all_options()
{
    cxxopts::Options options(
        "kumquatloom_stand_in",
        "Stand-ins for the platform, the upstreams and the callers.\n"
        "Commands: log, list, upstream, register, control, get, load");
    auto add = options.add_options();
    add("command", "command to run", cxxopts::value<std::string>());
    add("listen",
        "address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("address", "address of a server", cxxopts::value<std::string>());
    add("list", "address of the list", cxxopts::value<std::string>());
    add("retained",
        "number of records that the log retains",
        cxxopts::value<std::size_t>()->default_value("100000"));
    add("lag-ms",
        "delay until changes of the list are visible",
        cxxopts::value<int>()->default_value("500"));
    add("id", "name of an instance", cxxopts::value<std::string>());
    add("kind",
        "entry or upstream",
        cxxopts::value<std::string>()->default_value("upstream"));
    add("service",
        "service of an upstream",
        cxxopts::value<std::string>()->default_value(""));
    add("failure-domain",
        "failure domain",
        cxxopts::value<std::string>()->default_value(""));
    add("region", "region", cxxopts::value<std::string>()->default_value(""));
    add("state",
        "live or leaving",
        cxxopts::value<std::string>()->default_value("live"));
    add("peer-port",
        "port of the peer protocol",
        cxxopts::value<unsigned>()->default_value("0"));
    add("slots",
        "slots of an upstream",
        cxxopts::value<unsigned>()->default_value("6"));
    add("service-ms",
        "service time of an upstream",
        cxxopts::value<int>()->default_value("20"));
    add("seed",
        "random seed",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("body",
        "body of a control request",
        cxxopts::value<std::string>()->default_value("{}"));
    add("target",
        "target of a GET request",
        cxxopts::value<std::string>()->default_value("/"));
    add("entries",
        "initial entry instances, separated by commas",
        cxxopts::value<std::vector<std::string>>());
    add("organisation", "organisation", cxxopts::value<std::string>());
    add("credential",
        "credential of the organisation",
        cxxopts::value<std::string>());
    add("read",
        "target of reads",
        cxxopts::value<std::string>()->default_value("/read"));
    add("write",
        "target of writes",
        cxxopts::value<std::string>()->default_value("/write"));
    add("write-fraction",
        "fraction of writes",
        cxxopts::value<double>()->default_value("0.2"));
    add("rate",
        "requests per second",
        cxxopts::value<double>()->default_value("100"));
    add("length-ms",
        "duration of the load",
        cxxopts::value<int>()->default_value("5000"));
    add("deadline-ms",
        "deadline of a request",
        cxxopts::value<int>()->default_value("1000"));
    add("tickets",
        "send writes with tickets",
        cxxopts::value<bool>()->default_value("true"));
    add("h,help", "show this help");
    options.parse_positional({"command"});
    return options;
}

int run_command(int argc, char** argv)
{
    auto options = all_options();
    auto const parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("command") == 0)
    {
        std::cout << options.help();
        return parsed.count("help") != 0 ? 0 : 2;
    }
    using runner = std::function<int(cxxopts::ParseResult const&)>;
    std::map<std::string, runner> const commands = {
        {"log", run_log},
        {"list", run_list},
        {"upstream", run_upstream},
        {"register", run_register},
        {"control", run_control},
        {"get", run_get},
        {"load", run_load},
    };
    auto const found = commands.find(parsed["command"].as<std::string>());
    if (found == commands.end())
    {
        std::cerr << "unknown command\n";
        return 2;
    }
    return found->second(parsed);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_command(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << "kumquatloom_stand_in: " << error.what() << '\n';
        return 2;
    }
}
