#include <boost/json/value_from.hpp>

#include <algorithm>
#include <cmath>
#include <measure/measurements.hpp>

namespace kumquatloom::measure
{

namespace
{

/// Quantile of sorted values by the nearest-rank method.
double quantile(std::vector<double> const& sorted, double fraction)
{
    auto const rank =
        std::ceil(fraction * static_cast<double>(sorted.size())) - 1;
    return sorted[static_cast<std::size_t>(std::max(0.0, rank))];
}

/// Summary of one measure over all runs: the value of a single run, or median
/// and worst of several. The worst is the largest value, except where a small
/// value is bad.
template <typename Measure>
boost::json::value summary(std::vector<measurements> const& runs,
                           Measure measure,
                           bool largest_is_worst = true)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (auto const& run : runs)
        values.push_back(static_cast<double>(measure(run)));
    std::sort(values.begin(), values.end());
    if (values.size() == 1)
        return values.front();
    return boost::json::object{
        {"median", quantile(values, 0.5)},
        {"worst", largest_is_worst ? values.back() : values.front()}};
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

boost::json::object detection(std::vector<measurements> const& runs)
{
    std::vector<double> times;
    std::uint64_t undetected = 0;
    for (auto const& run : runs)
    {
        times.insert(
            times.end(), run.detection_ms.begin(), run.detection_ms.end());
        undetected += run.undetected;
    }
    std::sort(times.begin(), times.end());
    boost::json::object result;
    if (!times.empty())
        result = {{"p50", quantile(times, 0.5)},
                  {"p99", quantile(times, 0.99)},
                  {"max", times.back()}};
    result["detected"] = times.size();
    result["undetected"] = undetected;
    return result;
}

} // namespace

boost::json::object to_json(std::vector<measurements> const& runs, double floor)
{
    using run = measurements const&;
    auto const each = [&](auto measure)
    {
        return summary(runs, measure);
    };
    boost::json::object json;
    json["runs"] = runs.size();
    json["detection_ms"] = detection(runs);
    // clang-format off
    json["false_ejections"] = each([](run r) { return r.false_ejections; });
    json["false_avoidances"] = each([](run r) { return r.false_avoidances; });
    json["right_ejections"] = each([](run r) { return r.right_ejections; });
    json["min_healthy_fraction"] = summary(
        runs, [](run r) { return r.min_healthy_fraction; }, false);
    json["floor"] = floor;
    json["requests"] = each([](run r) { return r.requests; });
    json["late_fraction"] =
        each([](run r) { return ratio(r.late, r.requests); });
    json["not_run"] = each([](run r) { return r.not_run; });
    json["unknown"] = each([](run r) { return r.unknown; });
    json["wrong_answers"] = each([](run r) { return r.wrong_answers; });
    json["double_executions"] = each([](run r) { return r.double_executions; });
    json["false_not_run"] = each([](run r) { return r.false_not_run; });
    json["retry_ratio"] =
        each([](run r) { return ratio(r.attempts, r.requests) - 1; });
    json["after_leaving_3s"] = each([](run r) { return r.after_leaving; });
    json["cross_region_bytes"] =
        each([](run r) { return r.cross_region_bytes; });
    json["control_bytes_per_instance_per_s"] =
        each([](run r) { return r.control_bytes_per_instance_per_s; });
    // clang-format on
    return json;
}

} // namespace kumquatloom::measure
