#ifndef KUMQUATLOOM_HEALTH_HEALTH_MONITOR_HPP
#define KUMQUATLOOM_HEALTH_HEALTH_MONITOR_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/ejection_candidate.hpp>
#include <kumquatloom/health/evidence_message.hpp>
#include <kumquatloom/health/health_monitor_settings.hpp>
#include <kumquatloom/health/outlier_detector.hpp>
#include <kumquatloom/health/tracked_upstream.hpp>
#include <kumquatloom/health/upstream_evidence.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace kumquatloom::health
{

/// Detects unhealthy upstreams of one service from the attempts of this
/// instance and the evidence of its peers. One control thread uses it; the
/// request path only accesses the attempt_recorder objects.
class health_monitor
{
public:
    static constexpr core::duration tick_interval =
        std::chrono::milliseconds(100);
    /// Minimum time between two evidence messages.
    static constexpr core::duration export_interval =
        std::chrono::milliseconds(250);

    explicit health_monitor(health_monitor_settings settings);

    /// Replaces the monitored upstreams. Evidence about those that remain is
    /// kept.
    void track(std::vector<tracked_upstream> const& upstreams,
               core::time_point now);

    /// Changes the detection settings.
    void change_detection(outlier_detector_settings const& detection);

    /// Adds an attempt directly instead of through the recorder.
    void record(attempt_report const& report, core::time_point now);

    /// Adds the result of a health probe. Probes confirm the end of avoidance
    /// and allow readmission, but do not reduce the evidence from requests.
    void record_probe(core::upstream_id const& upstream,
                      bool ok,
                      core::time_point now);

    /// Adds the evidence of another instance. Its age counts from `received`.
    void merge(evidence_message const& message, core::time_point received);

    /// Drains the recorders and updates the standing of every upstream.
    void tick(core::time_point now);

    /// Whether an evidence message should be sent now: there is evidence to
    /// export, and the last message is at least one interval old. The first
    /// evidence of an incident is thus sent at the next tick. To be checked
    /// after each tick.
    bool export_due(core::time_point now) const;

    /// Returns the evidence message for the peers. A message without entries
    /// need not be sent.
    evidence_message export_evidence(core::time_point now);

    /// Sets whether the ledger holds an ejection of the upstream.
    void update_ejection(core::upstream_id const& upstream,
                         bool ejected,
                         core::time_point now);

    /// Standing of an upstream before an ejection_limiter is applied; `normal`
    /// if it is not monitored.
    upstream_standing standing(core::upstream_id const& upstream,
                               core::time_point now) const;

    /// Fraction of its full load that an upstream should receive, 0 to 1.
    double weight(core::upstream_id const& upstream,
                  core::time_point now) const;

    /// Score of the evidence when the upstream was last avoided, raised by
    /// later combined scores; 0 if the upstream is not monitored.
    double severity(core::upstream_id const& upstream) const;

    /// Whether this instance should send a trial request to an avoided
    /// upstream, to find out whether the upstream is also unhealthy as seen
    /// from this failure domain. Counts the trial if so.
    bool claim_trial(core::upstream_id const& upstream, core::time_point now);

    /// Whether enough probes have succeeded to readmit an ejected upstream.
    bool probes_allow_readmission(core::upstream_id const& upstream,
                                  core::time_point now) const;

    /// Upstreams with enough evidence for an ejection, the highest severity
    /// first.
    std::vector<ejection_candidate>
    ejection_candidates(core::time_point now) const;

    /// Whether this instance sees failures at so many upstreams that the fault
    /// is more likely local than at the upstreams.
    bool suspects_local_fault() const
    {
        return suspects_local_fault_;
    }

    /// Whether most upstreams appear unhealthy, which points at a shared cause
    /// such as an overload.
    bool suspects_shared_fault() const
    {
        return suspects_shared_fault_;
    }

    /// Whether most upstreams refuse requests. Late responses are then an
    /// effect of load and no evidence of a fault.
    bool service_is_overloaded() const
    {
        return service_is_overloaded_;
    }

private:
    /// The last message received from one peer.
    struct peer_state
    {
        std::uint32_t sequence = 0;
        core::time_point received;
    };

    upstream_evidence* find(core::upstream_id const& upstream);
    upstream_evidence const* find(core::upstream_id const& upstream) const;
    /// Whether a message is not newer than one that was already merged; records
    /// it as the last one if it is newer.
    bool is_outdated(evidence_message const& message, core::time_point now);
    /// Adds attempts of this instance as evidence.
    void add_local(upstream_evidence& evidence,
                   evidence_counts const& counts,
                   core::time_point now);
    /// Adds attempts to the decaying recent counts; returns those that count as
    /// evidence.
    evidence_counts add_recent(upstream_evidence& evidence,
                               evidence_counts counts,
                               core::time_point now) const;
    /// Whether evidence about the upstream should be exported.
    static bool should_export(upstream_evidence const& evidence,
                              core::time_point now);
    /// Starts an export episode of the upstream or extends the current one.
    void extend_export(upstream_evidence& evidence, core::time_point now);
    /// Recomputes the late thresholds from the smoothed latencies.
    void update_late_thresholds();
    /// Recomputes the background rates from the two thirds of the upstreams
    /// with the lowest fractions of bad attempts.
    void update_background_rates();
    /// Detects local faults, faults shared by most upstreams, and overload.
    void classify_faults();
    /// Whether the evidence is sufficient to avoid the upstream.
    bool should_avoid(upstream_evidence const& evidence,
                      core::time_point now) const;
    /// Score for an ejection: the combined score, or the combined evidence
    /// scored against the peak background rates if that is lower. At the onset
    /// of an overload some upstreams reach a high score before the background
    /// rates have risen.
    double score_for_ejection(upstream_evidence const& evidence) const;
    /// Whether wrong responses alone are sufficient evidence. They are not
    /// explained by a shared cause such as an overload.
    bool wrong_responses_suffice(upstream_evidence const& evidence) const;
    /// Adds one observer's evidence to the combined evidence.
    void add_combined(upstream_evidence& evidence,
                      observer_evidence const& observer,
                      evidence_counts const& counts,
                      double weight,
                      core::time_point now) const;
    /// Sum of the scores of all observers with a recent bad attempt, without
    /// the largest score. Adds the number of these observers to `observers`,
    /// including the one with the largest score.
    double corroboration(upstream_evidence const& evidence,
                         core::time_point now,
                         unsigned& observers) const;
    /// Sum of the scores of all observers in one failure domain.
    double domain_score(upstream_evidence const& evidence,
                        core::failure_domain const& domain) const;
    /// Updates the standing of one upstream.
    void decide(upstream_evidence& evidence, core::time_point now);
    /// Discards all evidence about an upstream.
    static void reset_evidence(upstream_evidence& evidence);

    health_monitor_settings settings_;
    outlier_detector detector_;
    /// Evidence about each upstream.
    std::vector<upstream_evidence> upstreams_;
    /// Index of each upstream by id and by short hash.
    std::unordered_map<core::upstream_id, std::size_t> by_id_;
    std::unordered_map<std::uint32_t, std::size_t> by_hash_;
    /// Last message of each peer.
    std::unordered_map<core::instance_id, peer_state> peers_;
    /// Fractions of bad attempts at healthy upstreams.
    background_rates background_;
    /// Decaying maximum of the background rates.
    background_rates peak_background_;
    /// When the last evidence was exported.
    core::time_point last_export_;
    /// Sequence number of the last message.
    std::uint32_t sequence_ = 0;
    /// Index of the upstream at which the next message starts if not all
    /// entries fit into one.
    std::size_t next_export_index_ = 0;
    bool suspects_local_fault_ = false;
    bool suspects_shared_fault_ = false;
    bool service_is_overloaded_ = false;
};

} // namespace kumquatloom::health

#endif
