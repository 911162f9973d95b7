#ifndef KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/health_estimate_settings.hpp>

namespace kumquatloom::health
{

/// Estimate of whether one upstream is unhealthy, as log-odds that decay
/// exponentially to the prior.
class health_estimate
{
public:
    /// Starts at the prior. `settings` must outlive the estimate.
    health_estimate(health_estimate_settings const& settings,
                    core::time_point now);

    /// Adds evidence; positive weights are evidence that the upstream is
    /// unhealthy.
    void add(double weight, core::time_point now);

    /// Raises the log-odds to `observed_log_odds`, those of another observer,
    /// if these are higher.
    void adopt(double observed_log_odds, core::time_point now);

    /// Returns the log-odds at `now`.
    double log_odds(core::time_point now) const;

private:
    health_estimate_settings const* settings_;
    /// Difference between log-odds and prior at the last addition of evidence,
    /// and the time of that addition.
    double offset_from_prior_ = 0;
    core::time_point last_added_;
};

} // namespace kumquatloom::health

#endif
