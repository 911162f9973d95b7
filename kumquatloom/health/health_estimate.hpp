#ifndef KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_ESTIMATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/health_estimate_settings.hpp>

namespace kumquatloom::health
{

/// The belief that one upstream is sick, as log-odds that fade to the prior.
class health_estimate
{
public:
    /// Starts at the prior. The settings must outlive the estimate.
    health_estimate(health_estimate_settings const& settings,
                    core::time_point now);

    /// Adds evidence; positive weights speak against the upstream.
    void add(double weight, core::time_point now);

    /// Takes over log-odds that another observer has come to, unless the own
    /// are as high.
    void adopt(double log_odds, core::time_point now);

    /// The log-odds at present.
    double log_odds(core::time_point now) const;

private:
    /// How evidence counts.
    health_estimate_settings const* settings_;
    /// Log-odds above the prior when evidence was last added, and when.
    double excess_ = 0;
    core::time_point added_;
};

} // namespace kumquatloom::health

#endif
