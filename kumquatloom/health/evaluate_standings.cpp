#include <kumquatloom/health/ejection_limiter.hpp>
#include <kumquatloom/health/ejection_view.hpp>
#include <kumquatloom/health/evaluate_standings.hpp>
#include <kumquatloom/health/health_monitor.hpp>

namespace kumquatloom::health
{

std::vector<standing_decision>
evaluate_standings(health_monitor& monitor,
                   ejection_view const& ejections,
                   ejection_limiter const& limiter,
                   std::vector<core::upstream_id> const& live,
                   core::time_point now)
{
    std::vector<standing_decision> decisions;
    decisions.reserve(live.size());
    for (auto const& upstream : live)
    {
        // The ledger takes precedence, and an ejection ends the monitor's own
        // avoidance.
        auto const ledger_standing = ejections.standing(upstream, now);
        monitor.update_ejection(
            upstream, ledger_standing != upstream_standing::normal, now);
        auto& decision = decisions.emplace_back();
        decision.upstream = upstream;
        decision.standing = ledger_standing != upstream_standing::normal
                                ? ledger_standing
                                : monitor.standing(upstream, now);
        decision.severity = monitor.severity(upstream);
        decision.weight = monitor.weight(upstream, now);
    }
    limiter.apply(decisions);
    for (auto& decision : decisions)
        if (decision.standing == upstream_standing::avoided)
        {
            decision.trial = monitor.claim_trial(decision.upstream, now);
            decision.trial_due_at = now;
        }
    return decisions;
}

} // namespace kumquatloom::health
