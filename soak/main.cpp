#include <cxxopts.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <soak/soak_run.hpp>
#include <string>

namespace
{

using namespace kumquatloom;

soak::soak_settings settings_of(cxxopts::ParseResult const& options)
{
    soak::soak_settings settings;
    settings.seed = options["seed"].as<std::uint64_t>();
    settings.program = options["program"].as<std::string>();
    settings.log_folder = options["logs"].as<std::string>();
    settings.net = options["net"].as<unsigned>();
    settings.instances_per_domain = options["instances"].as<std::size_t>();
    settings.callers = options["callers"].as<std::size_t>();
    settings.fault_time =
        std::chrono::seconds(options["seconds"].as<unsigned>());
    settings.checks_time_bounds = options.count("untimed") == 0;
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "kumquatloom_soak",
        "Runs instances as separate processes, injects faults that depend on a "
        "seed, and checks what callers and upstreams observe. Exits with 1 if "
        "a guarantee was violated.");
    options.add_options()("seed",
                          "random seed of the faults",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "program",
        "the program under test",
        cxxopts::value<std::string>()->default_value("build/kumquatloom"))(
        "logs",
        "folder for the settings files and logs of the instances",
        cxxopts::value<std::string>()->default_value("/tmp"))(
        "net",
        "second number of the IP addresses; distinct for concurrent soaks",
        cxxopts::value<unsigned>()->default_value("100"))(
        "instances",
        "instances in each of the four failure domains",
        cxxopts::value<std::size_t>()->default_value("2"))(
        "callers",
        "number of callers",
        cxxopts::value<std::size_t>()->default_value("24"))(
        "seconds",
        "duration of the fault injection",
        cxxopts::value<unsigned>()->default_value("12"))(
        "untimed", "skips guarantees with a time bound")("help",
                                                         "shows this help");
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") != 0)
        {
            std::cout << options.help() << "\n";
            return 0;
        }
        // Writes to closed connections are errors, not signals.
        std::signal(SIGPIPE, SIG_IGN);
        soak::soak_run run(settings_of(parsed));
        bool const passed = run.run();
        run.print(std::cout);
        return passed ? 0 : 1;
    }
    catch (std::exception const& error)
    {
        std::cerr << "kumquatloom_soak: " << error.what() << "\n";
        return 2;
    }
}
