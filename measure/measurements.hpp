#ifndef KUMQUATLOOM_MEASURE_MEASUREMENTS_HPP
#define KUMQUATLOOM_MEASURE_MEASUREMENTS_HPP

#include <boost/json/object.hpp>

#include <cstdint>
#include <vector>

namespace kumquatloom::measure
{

/// What one run showed.
struct measurements
{
    /// Detection time of each sick upstream that was detected.
    std::vector<double> detection_ms;
    /// Sick upstreams that still received work at the end.
    std::uint64_t undetected = 0;
    /// Times that an instance began to keep a healthy upstream out.
    std::uint64_t false_ejections = 0;
    std::uint64_t false_avoidances = 0;
    /// Times that an instance began to eject a sick upstream.
    std::uint64_t right_ejections = 0;
    /// Smallest part of the upstreams outside the union of all ejections.
    double min_healthy_fraction = 1;
    /// Requests, and those by their end.
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t late = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong_answers = 0;
    std::uint64_t double_executions = 0;
    std::uint64_t false_not_run = 0;
    /// Attempts that reached a leaving upstream after 3 s.
    std::uint64_t after_leaving = 0;
    /// Bytes between regions.
    std::uint64_t cross_region_bytes = 0;
    /// Evidence sent by an average instance.
    double control_bytes_per_instance_per_s = 0;
};

/// The object that the program prints: one number for each measure of a
/// single run, or the median and the worst of several runs.
boost::json::object to_json(std::vector<measurements> const& runs,
                            double floor);

} // namespace kumquatloom::measure

#endif
