#ifndef KUMQUATLOOM_HEALTH_UPSTREAM_EVIDENCE_HPP
#define KUMQUATLOOM_HEALTH_UPSTREAM_EVIDENCE_HPP

#include <kumquatloom/health/observer_evidence.hpp>
#include <kumquatloom/health/standing_state_machine.hpp>
#include <kumquatloom/health/tracked_upstream.hpp>

#include <boost/container/flat_map.hpp>

#include <cstdint>

namespace kumquatloom::health
{

/// Evidence and standing of one upstream in one health monitor.
struct upstream_evidence
{
    /// The upstream and its recorder.
    tracked_upstream tracked;
    /// Short hash that identifies the upstream in messages.
    std::uint32_t hash = 0;
    /// When the upstream was first tracked.
    core::time_point first_seen;
    /// Evidence of this instance.
    observer_evidence local;
    /// Combined evidence of all observers.
    observer_evidence combined;
    /// Evidence of each peer.
    boost::container::flat_map<core::instance_id, observer_evidence> peers;
    standing_state_machine state_machine;
    /// Score when the upstream was last avoided, raised by later combined
    /// scores.
    double severity = 0;
    /// Attempts of this instance in the export episode, including those that
    /// counted towards its score when the episode began.
    evidence_counts episode_counts;
    /// Number of the export episode.
    std::uint16_t episode = 0;
    /// When the export of evidence about the upstream ends.
    core::time_point export_until;
    /// Attempts of this instance (all, failed, late and refused) with
    /// exponential decay.
    double recent_total = 0;
    double recent_failed = 0;
    double recent_late = 0;
    double recent_refused = 0;
    /// Attempts of this instance since the last tick that were not scored yet.
    evidence_counts drained_counts;
    /// Number of trial requests since the avoidance began.
    unsigned trials = 0;
};

} // namespace kumquatloom::health

#endif
