#ifndef KUMQUATLOOM_HEALTH_EJECTION_CANDIDATE_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_CANDIDATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::health
{

/// An upstream with enough evidence for an ejection.
struct ejection_candidate
{
    core::upstream_id upstream;
    /// Strength of the evidence.
    double severity = 0;
    /// When its avoidance began.
    core::time_point avoided_since;
    /// Number of failure domains whose own observers together report the
    /// upstream as unhealthy, without the evidence of other domains.
    unsigned domains = 0;
};

} // namespace kumquatloom::health

#endif
