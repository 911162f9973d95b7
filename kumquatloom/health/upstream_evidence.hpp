#ifndef KUMQUATLOOM_HEALTH_UPSTREAM_EVIDENCE_HPP
#define KUMQUATLOOM_HEALTH_UPSTREAM_EVIDENCE_HPP

#include <kumquatloom/health/observer_evidence.hpp>
#include <kumquatloom/health/standing_state_machine.hpp>
#include <kumquatloom/health/tracked_upstream.hpp>

#include <boost/container/flat_map.hpp>

#include <cstdint>

namespace kumquatloom::health
{

/// Everything that one monitor holds about one upstream.
struct upstream_evidence
{
    /// The upstream and its recorder.
    tracked_upstream tracked;
    /// Short hash by which messages name it.
    std::uint32_t hash = 0;
    /// When it was first tracked.
    core::time_point first_seen;
    /// What this instance saw itself.
    observer_evidence own;
    /// What all observers together saw.
    observer_evidence merged;
    /// What each other instance saw.
    boost::container::flat_map<core::instance_id, observer_evidence> peers;
    /// Its way through avoidance.
    standing_state_machine course;
    /// Strength of the evidence when it was last avoided.
    double severity = 0;
    /// Own counts since the episode of interest began.
    evidence_counts episode_counts;
    /// Number of the episode.
    std::uint16_t episode = 0;
    /// Until when evidence about it is exported.
    core::time_point interest_until;
    /// Own attempts (all, failed, late and refused) that fade within seconds.
    double recent_total = 0;
    double recent_failed = 0;
    double recent_late = 0;
    double recent_refused = 0;
    /// Own attempts of this tick that are not weighed yet.
    evidence_counts drained;
    /// Trial requests asked for since it has been avoided.
    unsigned trials = 0;
};

} // namespace kumquatloom::health

#endif
