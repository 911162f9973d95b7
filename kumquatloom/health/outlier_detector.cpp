#include <kumquatloom/health/outlier_detector.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// Failure rate assumed of unhealthy upstreams. At the minimum rates of healthy
/// ones below, a score grows if more than about 7% of the attempts fail.
constexpr double unhealthy_failure_rate = 0.3;
/// Minimum failure rates assumed of healthy upstreams, so that a single failure
/// in a service without recent failures is not conclusive.
constexpr double min_failed_rate = 0.002;
constexpr double min_late_rate = 0.005;
/// Rate of wrong responses assumed of healthy upstreams. They do not send any,
/// but one corrupted connection must not be conclusive either.
constexpr double wrong_rate = 0.0001;
/// Factor on the measured background rates, because they come from few samples
/// and healthy upstreams differ.
constexpr double background_margin = 2;
/// Maximum failure rate assumed of healthy upstreams. Above it, healthy and
/// unhealthy upstreams cannot be told apart.
constexpr double max_healthy_failure_rate = 0.45;
/// Minimum ratio of the failure rates of unhealthy and healthy upstreams.
/// Without it the scores of all upstreams drift upwards in an overload.
constexpr double min_rate_ratio = 2;
/// Added to the late threshold. In a service that answers within microseconds,
/// network latency alone exceeds any multiple of the median.
constexpr core::duration late_slack = 2ms;

double assumed_healthy_rate(double observed, double minimum)
{
    return std::clamp(
        observed * background_margin, minimum, max_healthy_failure_rate);
}

} // namespace

double outlier_detector::weigh(evidence_counts const& counts,
                               background_rates const& background) const
{
    double const failed =
        assumed_healthy_rate(background.failed, min_failed_rate);
    double const late = assumed_healthy_rate(background.late, min_late_rate);
    double const healthy = std::min(failed + late, max_healthy_failure_rate);
    double const unhealthy =
        std::max(unhealthy_failure_rate, min_rate_ratio * healthy);
    double score = counts.ok * std::log((1 - unhealthy) / (1 - healthy));
    score += (counts.error + counts.timeout) * std::log(unhealthy / failed);
    score += counts.late * std::log(unhealthy / late);
    return score + weigh_wrong(counts);
}

double outlier_detector::weigh_wrong(evidence_counts const& counts)
{
    return counts.wrong * std::log(unhealthy_failure_rate / wrong_rate);
}

core::duration
outlier_detector::late_threshold(std::vector<core::duration> const& sorted,
                                 core::duration own) const
{
    auto const found = std::lower_bound(sorted.begin(), sorted.end(), own);
    bool const is_in_group = found != sorted.end() && *found == own;
    std::size_t const others = sorted.size() - (is_in_group ? 1 : 0);
    if (others == 0)
        return core::duration::max();
    // The lower median, so that of two other upstreams the faster one is the
    // reference. Skips the upstream's own latency.
    std::size_t median = (others - 1) / 2;
    if (is_in_group &&
        median >= static_cast<std::size_t>(found - sorted.begin()))
        ++median;
    auto const scaled =
        static_cast<double>(sorted[median].count()) * settings_.late_factor;
    return core::duration(static_cast<core::duration::rep>(scaled)) +
           late_slack;
}

} // namespace kumquatloom::health
