#ifndef KUMQUATLOOM_MEASURE_FAILURE_EPISODES_HPP
#define KUMQUATLOOM_MEASURE_FAILURE_EPISODES_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string_view>

namespace kumquatloom::measure
{

/// How the instances treat upstreams that fail in episodes.
enum class episode_policy : std::uint8_t
{
    /// The standard request policy.
    standard,
    /// Non-idempotent requests and second attempts prefer recent successes.
    freshness,
    /// As before, and first attempts of idempotent requests prefer upstreams
    /// without a recent success.
    exploring,
    /// As before, with the trial settings for failure episodes: the cost-aware
    /// request policy.
    fewer_trials,
    /// The instances know which upstreams are in an episode, and make trials at
    /// none of them.
    oracle
};

/// Parameters of an experiment with instances in several failure domains that
/// share upstreams of which each resets most requests in episodes.
struct failure_episodes_scenario
{
    episode_policy policy = episode_policy::standard;
    unsigned instances = 95;
    unsigned upstreams = 176;
    unsigned slots = 2;
    unsigned domains = 4;
    /// Requests per second of the whole fleet, and the part of them that is
    /// idempotent.
    double requests_per_s = 875;
    double idempotent = 250.0 / 875;
    /// Part of the requests that an upstream resets during an episode, and part
    /// of the responses of a healthy one that are errors.
    double reset = 0.85;
    double error = 0.012;
    /// Mean durations of an episode and of the time between two of them.
    std::chrono::milliseconds episode{2700};
    std::chrono::milliseconds healthy{6300};
    std::chrono::seconds duration{60};
    std::uint64_t seed = 1;
};

/// Returns the policy with the given name; throws std::invalid_argument for an
/// unknown one.
episode_policy parse_episode_policy(std::string_view name);

/// Runs the experiment in simulated time. Returns the parts of the requests
/// without a usable response, the attempts and trials that were reset, the
/// spread of the load, and the time until an upstream is used again.
boost::json::object
run_failure_episodes(failure_episodes_scenario const& setup);

} // namespace kumquatloom::measure

#endif
