#include <kumquatloom/core/logging.hpp>

#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>

#include <exception>
#include <iostream>
#include <measure/baseline_proxy.hpp>
#include <measure/current_proxy.hpp>
#include <measure/failure_episodes.hpp>
#include <measure/measurements.hpp>
#include <measure/quota_experiment.hpp>
#include <measure/scenario.hpp>
#include <measure/shared_choice.hpp>
#include <measure/shortage.hpp>
#include <measure/simulation.hpp>
#include <stdexcept>

namespace
{

using namespace kumquatloom;

constexpr char const* description =
    "Measures how entry instances handle unhealthy upstreams, in simulated "
    "time.\n\n"
    "One service with 48 entry instances in two regions runs on the project's "
    "own decision classes (policy current) or on a conventional proxy (policy "
    "baseline). The fault begins after a third of the duration. The same "
    "arguments print the same JSON object.\n\n"
    "detection_ms counts from the beginning of the fault to the first moment "
    "from which the unhealthy upstream receives, from all instances together, "
    "under 2% of its fair share for 5 s; the fair share is the mean over all "
    "upstreams in the same 5 s. An unhealthy upstream without such a moment is "
    "undetected. false_ejections and false_avoidances count the times that an "
    "instance began to eject or avoid a healthy upstream. late_fraction is "
    "the part of the requests without a complete response within 250 ms, five "
    "times the mean service time. min_healthy_fraction is the smallest part "
    "of the upstreams that no instance ejected, at any time.";

measure::scenario parse_scenario(cxxopts::ParseResult const& parsed)
{
    measure::scenario setup;
    auto const deployment = parsed["deployment"].as<std::string>();
    if (deployment != "mbao" && deployment != "carrelli")
        throw std::invalid_argument("unknown deployment '" + deployment + "'");
    bool const is_mbao = deployment == "mbao";
    setup.service.expected_upstreams = parsed["upstreams"].as<unsigned>();
    setup.service.floor = 0.7;
    setup.service.slots = is_mbao ? 6 : 4;
    setup.service.detection = is_mbao ? document::detection_level::fast
                                      : document::detection_level::cautious;
    setup.fault = measure::parse_fault(parsed["fault"].as<std::string>());
    setup.victims = parsed["victims"].as<unsigned>();
    setup.load = parsed["load"].as<double>();
    setup.seed = parsed["seed"].as<std::uint64_t>();
    std::chrono::seconds const duration(parsed["duration"].as<unsigned>());
    setup.fault_at = core::time_point(core::duration(duration) / 3);
    setup.end = core::time_point(duration);
    setup.subset = parsed["subset"].as<unsigned>();
    auto const choice = parsed["choice"].as<std::string>();
    if (choice == "load")
        setup.balancing = routing::balancing_policy::load;
    else if (choice != "load-and-latency")
        throw std::invalid_argument("unknown choice '" + choice + "'");
    return setup;
}

routing::balancing_policy parse_policy(std::string const& name)
{
    using routing::balancing_policy;
    if (name == "least-used" || name == "current")
        return balancing_policy::least_used;
    if (name == "least-used-of-all")
        return balancing_policy::least_used_of_all;
    if (name == "free-slots")
        return balancing_policy::free_slots;
    throw std::invalid_argument("unknown policy '" + name + "'");
}

/// Runs the experiment "shared-choice" and prints its figures.
void run_shared_choice(cxxopts::ParseResult const& parsed)
{
    measure::shared_choice_scenario setup;
    setup.policy = parse_policy(parsed["policy"].as<std::string>());
    setup.instances = parsed["instances"].as<unsigned>();
    setup.upstreams = parsed["upstreams"].as<unsigned>();
    setup.slots = parsed["slots"].as<unsigned>();
    setup.load = parsed["load"].as<double>();
    setup.seed = parsed["seed"].as<std::uint64_t>();
    setup.duration = std::chrono::seconds(parsed["duration"].as<unsigned>());
    setup.report_interval =
        std::chrono::milliseconds(parsed["report-interval"].as<unsigned>());
    if (setup.instances == 0 || setup.upstreams == 0 || setup.slots == 0 ||
        setup.report_interval.count() == 0)
        throw std::invalid_argument("a number must be at least 1");
    std::cout << boost::json::serialize(measure::run_shared_choice(setup))
              << '\n';
}

/// Runs the experiment "shortage" and prints its figures.
void run_shortage(cxxopts::ParseResult const& parsed)
{
    measure::shortage_scenario setup;
    setup.policy =
        measure::parse_shortage_policy(parsed["policy"].as<std::string>());
    setup.cause =
        measure::parse_shortage_cause(parsed["fault"].as<std::string>());
    setup.seed = parsed["seed"].as<std::uint64_t>();
    // The defaults of these options are those of other experiments.
    if (parsed.count("instances") != 0)
        setup.instances = parsed["instances"].as<unsigned>();
    if (parsed.count("upstreams") != 0)
        setup.upstreams = parsed["upstreams"].as<unsigned>();
    if (parsed.count("slots") != 0)
        setup.slots = parsed["slots"].as<unsigned>();
    if (setup.instances == 0 || setup.upstreams == 0 || setup.slots == 0)
        throw std::invalid_argument("a number must be at least 1");
    std::cout << boost::json::serialize(measure::run_shortage(setup)) << '\n';
}

/// Runs the experiment "failure-episodes" and prints its figures.
void run_failure_episodes(cxxopts::ParseResult const& parsed)
{
    measure::failure_episodes_scenario setup;
    setup.policy =
        measure::parse_episode_policy(parsed["policy"].as<std::string>());
    setup.instances = parsed["instances"].as<unsigned>();
    setup.seed = parsed["seed"].as<std::uint64_t>();
    setup.duration = std::chrono::seconds(parsed["duration"].as<unsigned>());
    if (setup.instances < setup.domains)
        throw std::invalid_argument("fewer instances than failure domains");
    // Each change of an upstream's standing is logged by every instance.
    core::configure_logging("warning");
    std::cout << boost::json::serialize(measure::run_failure_episodes(setup))
              << '\n';
}

/// Runs the experiment "quotas" and prints its figures.
void run_quotas(cxxopts::ParseResult const& parsed)
{
    measure::quota_scenario setup;
    auto const policy = parsed["policy"].as<std::string>();
    setup.policy = policy == "current" ? "counts" : policy;
    setup.event = parsed["fault"].as<std::string>();
    setup.instances = parsed["instances"].as<unsigned>();
    setup.callers = parsed["callers"].as<unsigned>();
    setup.hot_factor = parsed["hot-factor"].as<double>();
    setup.duration = std::chrono::seconds(parsed["duration"].as<unsigned>());
    setup.seed = parsed["seed"].as<std::uint64_t>();
    if (setup.instances == 0)
        throw std::invalid_argument("a number must be at least 1");
    std::cout << boost::json::serialize(measure::run_quota_experiment(setup))
              << '\n';
}

/// Runs an experiment other than "fault"; returns whether it is one.
bool run_other_experiment(std::string const& experiment,
                          cxxopts::ParseResult const& parsed)
{
    if (experiment == "shared-choice")
        run_shared_choice(parsed);
    else if (experiment == "shortage")
        run_shortage(parsed);
    else if (experiment == "failure-episodes")
        run_failure_episodes(parsed);
    else if (experiment == "quotas")
        run_quotas(parsed);
    else
        return false;
    return true;
}

template <typename Proxy>
std::vector<measure::measurements> run_all(measure::scenario setup,
                                           unsigned runs)
{
    std::vector<measure::measurements> results;
    for (unsigned i = 0; i < runs; ++i, ++setup.seed)
        results.push_back(measure::simulation<Proxy>(setup).run());
    return results;
}

/// Adds the options that choose the experiment, and those of "shared-choice".
void add_experiment_options(cxxopts::Options& options)
{
    options.add_options()(
        "experiment",
        "fault; shared-choice: many instances choose among the upstreams of "
        "their failure domain; shortage: requests of two priorities compete "
        "for too few slots; failure-episodes: 176 upstreams that reset most "
        "requests for seconds at a time; or quotas: many instances enforce the "
        "quotas of organisations together, with the policy counts, equal or "
        "leases and the fault usual, hot, all-hot, partition, pause, restart "
        "or lower",
        cxxopts::value<std::string>()->default_value("fault"),
        "NAME")("instances",
                "instances of the experiments shared-choice, shortage and "
                "failure-episodes",
                cxxopts::value<unsigned>()->default_value("21"),
                "N")("slots",
                     "slots of an upstream in the experiments shared-choice "
                     "and shortage",
                     cxxopts::value<unsigned>()->default_value("4"),
                     "N")(
        "report-interval",
        "milliseconds between two load reports in the experiment "
        "shared-choice",
        cxxopts::value<unsigned>()->default_value("50"),
        "MS");
}

/// Adds the options of all experiments.
void add_common_options(cxxopts::Options& options)
{
    auto const add = [&](char const* name,
                         char const* help,
                         auto const& value,
                         char const* placeholder)
    {
        options.add_options()(name, help, value, placeholder);
    };
    using text = std::string;
    add("callers",
        "instances that an organisation's callers use in the experiment "
        "quotas; 0 for all",
        cxxopts::value<unsigned>()->default_value("0"),
        "N");
    add("deployment",
        "mbao or carrelli",
        cxxopts::value<text>()->default_value("mbao"),
        "NAME");
    add("fault",
        "none, slow, errors, wrong, flap, one-way, overload, cold-start or "
        "leaving; in the experiment shortage burst, overload, lost-domain, "
        "refusals or hot-organisation",
        cxxopts::value<text>()->default_value("none"),
        "NAME");
    add("hot-factor",
        "multiple of the usual load in the events hot and all-hot of the "
        "experiment quotas",
        cxxopts::value<double>()->default_value("7"),
        "N");
    add("policy",
        "baseline or current; in the experiment shared-choice least-used "
        "(current), least-used-of-all or free-slots; in the experiment "
        "shortage standard, earliest-deadline, weighted-shortest, "
        "priority-threshold, cost-aware (current), cost-aware-late, "
        "cost-aware-equal-retries, domain-level, fleet-level, "
        "ordered-returns, domain-level-ordered-returns or oracle; in the "
        "experiment "
        "failure-episodes standard (current), freshness, exploring, "
        "fewer-trials or oracle",
        cxxopts::value<text>()->default_value("current"),
        "NAME");
    add("seed",
        "random seed of the first run",
        cxxopts::value<std::uint64_t>()->default_value("1"),
        "N");
    add("runs",
        "runs with consecutive seeds; prints median and worst",
        cxxopts::value<unsigned>()->default_value("1"),
        "N");
    add("duration",
        "simulated seconds of a run",
        cxxopts::value<unsigned>()->default_value("60"),
        "S");
    add("load",
        "offered load as a fraction of all slots",
        cxxopts::value<double>()->default_value("0.6"),
        "X");
    add("upstreams",
        "upstreams of the service",
        cxxopts::value<unsigned>()->default_value("30"),
        "N");
    add("victims",
        "number of upstreams that the fault affects",
        cxxopts::value<unsigned>()->default_value("1"),
        "N");
    add("choice",
        "load-and-latency or load: what the balancing policy compares",
        cxxopts::value<text>()->default_value("load-and-latency"),
        "NAME");
    add("subset",
        "upstreams that an instance prefers in its domain; 0 for all",
        cxxopts::value<unsigned>()->default_value("0"),
        "N");
}

/// Runs the experiment "fault" and prints its figures.
void run_fault(cxxopts::ParseResult const& parsed)
{
    auto const setup = parse_scenario(parsed);
    auto const runs = parsed["runs"].as<unsigned>();
    auto const policy = parsed["policy"].as<std::string>();
    if (policy != "current" && policy != "baseline")
        throw std::invalid_argument("unknown policy '" + policy + "'");
    if (runs == 0)
        throw std::invalid_argument("--runs must be at least 1");
    auto const results = policy == "current"
                             ? run_all<measure::current_proxy>(setup, runs)
                             : run_all<measure::baseline_proxy>(setup, runs);
    double const floor = static_cast<double>(setup.service.floor_upstreams()) /
                         setup.service.expected_upstreams;
    std::cout << boost::json::serialize(measure::to_json(results, floor))
              << '\n';
}

int run(int argc, char** argv)
{
    cxxopts::Options options("kumquatloom_measure", description);
    add_experiment_options(options);
    add_common_options(options);
    options.add_options()("h,help", "show this help");
    auto const parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto const experiment = parsed["experiment"].as<std::string>();
    if (run_other_experiment(experiment, parsed))
        return 0;
    if (experiment != "fault")
        throw std::invalid_argument("unknown experiment '" + experiment + "'");
    run_fault(parsed);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << "kumquatloom_measure: " << error.what() << '\n';
        return 2;
    }
}
