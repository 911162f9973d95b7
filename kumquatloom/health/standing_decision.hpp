#ifndef KUMQUATLOOM_HEALTH_STANDING_DECISION_HPP
#define KUMQUATLOOM_HEALTH_STANDING_DECISION_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

namespace kumquatloom::health
{

/// How one instance treats one live upstream until the next tick.
struct standing_decision
{
    /// The upstream.
    core::upstream_id upstream;
    /// Its standing.
    upstream_standing standing = upstream_standing::normal;
    /// Strength of the evidence against it.
    double severity = 0;
    /// Share of its usual work that it should get, 0 to 1.
    double weight = 1;
    /// Whether it should get one trial request although it is avoided.
    bool trial = false;
    /// Whether it is so surely sick that it is no reserve of capacity.
    bool last_resort = false;
};

} // namespace kumquatloom::health

#endif
