#ifndef KUMQUATLOOM_MEASURE_MEASUREMENTS_HPP
#define KUMQUATLOOM_MEASURE_MEASUREMENTS_HPP

#include <boost/json/object.hpp>

#include <cstdint>
#include <vector>

namespace kumquatloom::measure
{

/// Results of one run.
struct measurements
{
    /// Detection time of each unhealthy upstream that was detected.
    std::vector<double> detection_ms;
    /// Unhealthy upstreams that still received requests at the end.
    std::uint64_t undetected = 0;
    /// How often an instance began to eject or avoid a healthy upstream.
    std::uint64_t false_ejections = 0;
    std::uint64_t false_avoidances = 0;
    /// How often an instance began to eject an unhealthy upstream.
    std::uint64_t right_ejections = 0;
    /// Smallest fraction of upstreams that no instance ejected, at any time.
    double min_healthy_fraction = 1;
    /// Requests and attempts, and requests by outcome.
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t late = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t double_executions = 0;
    std::uint64_t false_not_run = 0;
    /// Attempts that arrived at an upstream over 3 s after it began to leave.
    std::uint64_t after_leaving = 0;
    /// Bytes of requests and responses between regions.
    std::uint64_t cross_region_bytes = 0;
    /// Mean rate of evidence that an instance sends.
    double control_bytes_per_instance_per_s = 0;
};

/// The object that the program prints: one number for each measure of a
/// single run, or the median and the worst of several runs.
boost::json::object to_json(std::vector<measurements> const& runs,
                            double floor);

} // namespace kumquatloom::measure

#endif
