#ifndef KUMQUATLOOM_HEALTH_STANDING_DECISION_HPP
#define KUMQUATLOOM_HEALTH_STANDING_DECISION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

namespace kumquatloom::health
{

/// Decision of one instance about one live upstream, valid until the next
/// decision.
struct standing_decision
{
    core::upstream_id upstream;
    upstream_standing standing = upstream_standing::normal;
    /// Strength of the evidence against it.
    double severity = 0;
    /// Fraction of its full load that the upstream should receive, 0 to 1.
    double weight = 1;
    /// Whether the upstream should receive one trial request although it is
    /// avoided.
    bool trial = false;
    /// Whether the upstream may receive requests other than trials only if all
    /// upstreams are avoided.
    bool last_resort = false;
    /// When the trial request became due.
    core::time_point trial_due_at{};
    /// When the upstream needs a request, whichever that is, so that it is not
    /// left without requests.
    core::time_point coverage_due_at = core::time_point::max();
};

} // namespace kumquatloom::health

#endif
