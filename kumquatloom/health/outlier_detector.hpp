#ifndef KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_HPP
#define KUMQUATLOOM_HEALTH_OUTLIER_DETECTOR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/evidence_counts.hpp>
#include <kumquatloom/health/outlier_detector_settings.hpp>

#include <vector>

namespace kumquatloom::health
{

/// Fractions of bad attempts that healthy upstreams show at present.
struct background_rates
{
    /// Fraction of errors and timeouts.
    double failed = 0;
    /// Fraction of late successes.
    double late = 0;
};

/// Weighs evidence by a sequential likelihood-ratio test: each attempt adds
/// the logarithm of how much likelier its result is at a sick upstream than at
/// a healthy one, and a sum that falls below zero starts again from zero.
class outlier_detector
{
public:
    explicit outlier_detector(outlier_detector_settings const& settings)
        : settings_(settings)
    {
    }

    /// The evidence that is asked for.
    outlier_detector_settings const& settings() const
    {
        return settings_;
    }

    /// What the counts add to a score; negative if they speak for the
    /// upstream.
    double weigh(evidence_counts const& counts,
                 background_rates const& background) const;

    /// The part of `weigh` that wrong and truncated answers add.
    static double weigh_wrong(evidence_counts const& counts);

    /// Latency above which a success is late, given the sorted smoothed
    /// latencies of a group and the upstream's own one, which is left out if
    /// the group contains it. The largest duration if nothing is left.
    core::duration late_threshold(std::vector<core::duration> const& sorted,
                                  core::duration own) const;

private:
    /// The evidence that is asked for.
    outlier_detector_settings settings_;
};

} // namespace kumquatloom::health

#endif
