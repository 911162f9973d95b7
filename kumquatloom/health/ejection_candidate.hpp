#ifndef KUMQUATLOOM_HEALTH_EJECTION_CANDIDATE_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_CANDIDATE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

namespace kumquatloom::health
{

/// An upstream whose evidence is strong enough for an ejection.
struct ejection_candidate
{
    /// The upstream.
    core::upstream_id upstream;
    /// How strong the evidence is.
    double severity = 0;
    /// Since when it has been avoided.
    core::time_point avoided_since;
    /// Failure domains whose observers, taken for themselves, blame it.
    unsigned domains = 0;
};

} // namespace kumquatloom::health

#endif
