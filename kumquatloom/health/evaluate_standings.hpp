#ifndef KUMQUATLOOM_HEALTH_EVALUATE_STANDINGS_HPP
#define KUMQUATLOOM_HEALTH_EVALUATE_STANDINGS_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/standing_decision.hpp>

#include <vector>

namespace kumquatloom::health
{

class ejection_view;
class ejection_limiter;
class health_monitor;

/// Combines the monitor's evidence, the ejections in the log and the limits of
/// `limiter` into the standings of the upstreams that are live and not leaving.
/// Called after each tick of the monitor and after each change of the ledger.
std::vector<standing_decision>
evaluate_standings(health_monitor& monitor,
                   ejection_view const& ejections,
                   ejection_limiter const& limiter,
                   std::vector<core::upstream_id> const& live,
                   core::time_point now);

} // namespace kumquatloom::health

#endif
