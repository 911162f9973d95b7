#include <algorithm>
#include <array>
#include <soak/fault_plan.hpp>
#include <soak/random_source.hpp>

namespace kumquatloom::soak
{

namespace
{

using namespace std::chrono_literals;

/// Bounds of the duration of a fault and of the pause between two faults.
constexpr auto shortest_fault = 200ms;
constexpr auto longest_fault = 4000ms;
constexpr auto longest_pause = 900ms;
/// Probability that a fault is followed by one of the same kind.
constexpr double repeat_probability = 0.25;
/// Minimum time from the start of the callers, when the instances are ready, to
/// the first fault.
constexpr auto first_fault_at = 1000ms;

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(fault_kind::count)>
    names{"leave_instance",  "kill_instance",      "pause_instance",
          "reload_instance", "leave_then_kill",    "pause_then_leave",
          "roll_instances",  "kill_all_instances", "caller_link",
          "store_link",      "upstream_link",      "store_down",
          "store_refusing",  "store_silent",       "store_slow",
          "store_losing",    "store_forgets",      "store_lapse",
          "upstream_sick",   "upstreams_sick",     "upstream_crash",
          "upstream_leave",  "upstream_reuse",     "move_route",
          "add_route",       "remove_route",       "configuration_storm"};

/// Whether fewer than `max_concurrent_faults` planned faults are active at
/// `at`.
bool may_start_fault(std::vector<planned_fault> const& plan,
                     std::chrono::milliseconds at,
                     std::size_t max_concurrent_faults)
{
    auto const running = std::count_if(plan.begin(),
                                       plan.end(),
                                       [&](planned_fault const& item)
                                       {
                                           return item.at + item.duration > at;
                                       });
    return static_cast<std::size_t>(running) < max_concurrent_faults;
}

} // namespace

std::string_view to_string(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> plan_faults(soak_settings const& settings)
{
    random_source random(settings.seed);
    std::vector<planned_fault> plan;
    auto at = std::chrono::milliseconds(first_fault_at);
    auto kind = fault_kind::count;
    while (true)
    {
        at += random.between(0ms, longest_pause);
        while (!may_start_fault(plan, at, settings.max_concurrent_faults))
            at += shortest_fault;
        if (at + shortest_fault >= settings.fault_time)
            return plan;
        bool const repeats =
            kind != fault_kind::count && random.chance(repeat_probability);
        if (!repeats)
            kind = static_cast<fault_kind>(random.below(names.size()));
        auto const duration =
            std::min(random.between(shortest_fault, longest_fault),
                     settings.fault_time - at);
        plan.push_back({at, kind, duration, random.fork()});
    }
}

} // namespace kumquatloom::soak
