#ifndef KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_HPP
#define KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/evidence_counts.hpp>
#include <kumquatloom/health/outlier_detector_settings.hpp>

#include <vector>

namespace kumquatloom::health
{

/// Fractions of bad attempts at healthy upstreams.
struct background_rates
{
    /// Fraction of errors and timeouts.
    double failed = 0;
    /// Fraction of late successes.
    double late = 0;
};

/// Scores evidence by a sequential likelihood-ratio test (CUSUM): each attempt
/// adds the logarithm of the ratio of the probabilities of its result at an
/// unhealthy and at a healthy upstream. observer_evidence keeps the sum and
/// resets it to zero whenever it falls below.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_detector_settings const& settings)
        : settings_(settings)
    {
    }

    outlier_detector_settings const& settings() const
    {
        return settings_;
    }

    /// Returns the sum of the weights of the counted attempts; negative if they
    /// are evidence that the upstream is healthy.
    double weigh(evidence_counts const& counts,
                 background_rates const& background) const;

    /// Returns the part of `weigh` that comes from wrong and truncated
    /// responses.
    static double weigh_wrong(evidence_counts const& counts);

    /// Returns the latency above which a success is late. `sorted` contains the
    /// smoothed latencies of a group and `own` the upstream's own one, which is
    /// left out of the median if the group contains it. Returns the largest
    /// duration if no other latency is left.
    core::duration late_threshold(std::vector<core::duration> const& sorted,
                                  core::duration own) const;

private:
    outlier_detector_settings settings_;
};

} // namespace kumquatloom::health

#endif
