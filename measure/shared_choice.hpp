#ifndef KUMQUATLOOM_MEASURE_SHARED_CHOICE_HPP
#define KUMQUATLOOM_MEASURE_SHARED_CHOICE_HPP

#include <kumquatloom/routing/balancing_policy.hpp>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>

namespace kumquatloom::measure
{

/// Parameters of an experiment with many instances of one failure domain that
/// choose among the same upstreams and know each other's load only by reports.
struct shared_choice_scenario
{
    routing::balancing_policy policy = routing::balancing_policy::least_used;
    unsigned instances = 21;
    unsigned upstreams = 40;
    unsigned slots = 4;
    /// Offered load as a fraction of all slots.
    double load = 0.8;
    /// Interval between the load reports of one instance.
    std::chrono::milliseconds report_interval{50};
    std::chrono::seconds duration{60};
    std::uint64_t seed = 1;
};

/// Runs the experiment in simulated time and returns its figures: bursts at one
/// upstream within 0.1 s, times to a response, the fraction of requests served,
/// and the longest time for which an upstream got no request.
boost::json::object run_shared_choice(shared_choice_scenario const& setup);

} // namespace kumquatloom::measure

#endif
