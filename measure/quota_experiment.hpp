#ifndef KUMQUATLOOM_MEASURE_QUOTA_EXPERIMENT_HPP
#define KUMQUATLOOM_MEASURE_QUOTA_EXPERIMENT_HPP

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace kumquatloom::measure
{

/// Parameters of an experiment with organisations whose quota many instances
/// enforce together. 82 organisations have rates from 300 to 2 a second.
struct quota_scenario
{
    /// "counts" (limits::quota_table), "equal" (each instance has an equal
    /// share) or "leases" (shares follow the demand, exchanged every 500 ms).
    std::string policy = "counts";
    /// "usual", "hot", "all-hot", "partition", "pause", "restart" or "lower".
    std::string event = "usual";
    unsigned instances = 120;
    /// Multiple of the usual load that organisations send in the events "hot"
    /// and "all-hot".
    double hot_factor = 7;
    /// Instances that an organisation's callers use; 0 for all.
    unsigned callers = 0;
    std::chrono::seconds duration{60};
    std::uint64_t seed = 1;
};

/// Runs the experiment in simulated time. `worst_window` is relative to the
/// bound; `refused_within_quota` is the part not served that one token bucket
/// for all would have served, `refused_worst_tenth` that of the worst tenth.
boost::json::object run_quota_experiment(quota_scenario const& setup);

} // namespace kumquatloom::measure

#endif
