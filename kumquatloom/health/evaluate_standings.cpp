#include <kumquatloom/health/ejection_limiter.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>
#include <kumquatloom/health/health_monitor.hpp>

namespace kumquatloom::health
{

std::vector<standing_decision>
evaluate_standings(health_monitor& monitor,
                   ejection_view const& ejections,
                   ejection_limiter const& guard,
                   std::vector<core::upstream_id> const& live,
                   core::time_point now)
{
    std::vector<standing_decision> decisions;
    decisions.reserve(live.size());
    for (auto const& upstream : live)
    {
        // The ledger goes first, as it also ends the monitor's own avoidance.
        auto const by_log = ejections.standing(upstream, now);
        monitor.ejection_changed(
            upstream, by_log != upstream_standing::normal, now);
        auto& decision = decisions.emplace_back();
        decision.upstream = upstream;
        decision.standing = by_log != upstream_standing::normal
                                ? by_log
                                : monitor.standing(upstream, now);
        decision.severity = monitor.severity(upstream);
        decision.weight = monitor.weight(upstream, now);
    }
    guard.apply(decisions);
    for (auto& decision : decisions)
        if (decision.standing == upstream_standing::avoided)
            decision.trial = monitor.take_trial(decision.upstream, now);
    return decisions;
}

} // namespace kumquatloom::health
