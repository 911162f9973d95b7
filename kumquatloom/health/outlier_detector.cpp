#include <kumquatloom/health/outlier_detector.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// Fraction of bad attempts at a sick upstream that the test is designed for.
/// The score of an upstream grows if it fails more than about 7% of attempts.
constexpr double sick_rate = 0.3;
/// Least fractions assumed of healthy upstreams, so that a quiet service does
/// not make a single failure conclusive.
constexpr double min_failed_rate = 0.002;
constexpr double min_late_rate = 0.005;
/// Healthy upstreams do not send answers that fail verification, but one
/// corrupted connection must not be conclusive either.
constexpr double wrong_rate = 0.0001;
/// The estimate of the background is doubled, because it is made from few
/// samples and healthy upstreams differ.
constexpr double background_margin = 2;
/// A background above this leaves nothing to tell a sick upstream by.
constexpr double max_rate = 0.45;
/// A sick upstream is at least so many times as bad as the assumed background;
/// without this, the scores of all upstreams drift upwards in an overload.
constexpr double sick_factor = 2;
/// Added to the late threshold, because in a service that answers within
/// microseconds the network alone exceeds any multiple of the median.
constexpr core::duration late_slack = 2ms;

double assumed_rate(double observed, double least)
{
    return std::clamp(observed * background_margin, least, max_rate);
}

} // namespace

double outlier_detector::weigh(evidence_counts const& counts,
                               background_rates const& background) const
{
    double const failed = assumed_rate(background.failed, min_failed_rate);
    double const late = assumed_rate(background.late, min_late_rate);
    double const healthy = std::min(failed + late, max_rate);
    double const sick = std::max(sick_rate, sick_factor * healthy);
    double score = counts.ok * std::log((1 - sick) / (1 - healthy));
    score += (counts.error + counts.timeout) * std::log(sick / failed);
    score += counts.late * std::log(sick / late);
    return score + weigh_wrong(counts);
}

double outlier_detector::weigh_wrong(evidence_counts const& counts)
{
    return counts.wrong * std::log(sick_rate / wrong_rate);
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
    // The lower median, so that of two others the quicker one counts.
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
