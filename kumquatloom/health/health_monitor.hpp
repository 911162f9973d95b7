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

/// Decides which upstreams of one service are sick, from the attempts of this
/// instance and the evidence of its peers. One control thread uses it; the
/// request path only touches the attempt_recorder objects.
class health_monitor
{
public:
    /// Time between two ticks.
    static constexpr core::duration tick_interval =
        std::chrono::milliseconds(100);
    /// Time between two messages of evidence.
    static constexpr core::duration export_interval =
        std::chrono::milliseconds(250);

    explicit health_monitor(health_monitor_settings settings);

    /// Replaces the watched upstreams. Evidence about those that stay is kept.
    void track(std::vector<tracked_upstream> const& upstreams,
               core::time_point now);

    /// Takes over a changed detection level.
    void change_detection(outlier_detector_settings const& detection);

    /// Adds an attempt directly, without the recorder.
    void record(attempt_report const& report, core::time_point now);

    /// Adds the result of a health probe. It confirms and readmits, but never
    /// clears what requests showed.
    void record_probe(core::upstream_id const& upstream,
                      bool ok,
                      core::time_point now);

    /// Adds the evidence of another instance. Its age counts from `received`.
    void merge(evidence_message const& message, core::time_point received);

    /// Drains the recorders and decides.
    void tick(core::time_point now);

    /// Whether evidence should be sent now: something is of interest, and the
    /// last message is an interval old. The first evidence of an incident is
    /// thus sent at the next tick. Asked after each tick.
    bool export_due(core::time_point now) const;

    /// Evidence for the peers; has no entries in quiet times, and then need
    /// not be sent.
    evidence_message export_evidence(core::time_point now);

    /// Records whether the log's ledger holds an ejection of the upstream.
    void ejection_changed(core::upstream_id const& upstream,
                          bool ejected,
                          core::time_point now);

    /// The standing of an upstream before the floor is looked at; `normal` if
    /// it is not watched.
    upstream_standing standing(core::upstream_id const& upstream,
                               core::time_point now) const;

    /// Share of its usual work that an upstream should get, 0 to 1.
    double weight(core::upstream_id const& upstream,
                  core::time_point now) const;

    /// Strength of the evidence against an upstream.
    double severity(core::upstream_id const& upstream) const;

    /// Whether a trial request from here would tell whether the upstream is
    /// sick seen from this failure domain too. Counts as one trial if so.
    bool take_trial(core::upstream_id const& upstream, core::time_point now);

    /// Whether probes confirm that an ejected upstream may come back.
    bool probes_confirm(core::upstream_id const& upstream,
                        core::time_point now) const;

    /// Upstreams that may be ejected as far as evidence goes, worst first.
    std::vector<ejection_candidate>
    ejection_candidates(core::time_point now) const;

    /// Whether this instance's own failures are spread so widely that the
    /// fault is likelier here than at the upstreams.
    bool suspects_itself() const
    {
        return suspects_itself_;
    }

    /// Whether most upstreams look sick, so that the cause is shared.
    bool cause_is_shared() const
    {
        return cause_is_shared_;
    }

    /// Whether most upstreams refuse work, so that lateness is no fault.
    bool service_is_overloaded() const
    {
        return service_is_overloaded_;
    }

private:
    /// Last message from one peer.
    struct peer_state
    {
        std::uint32_t sequence = 0;
        core::time_point received;
    };

    upstream_evidence* find(core::upstream_id const& upstream);
    upstream_evidence const* find(core::upstream_id const& upstream) const;
    /// Whether a message is older than one that was already merged.
    bool is_outdated(evidence_message const& message, core::time_point now);
    /// Adds own attempts.
    void add_own(upstream_evidence& state,
                 evidence_counts const& counts,
                 core::time_point now);
    /// Adds attempts to the recent ones; returns those that count as evidence.
    evidence_counts take_recent(upstream_evidence& state,
                                evidence_counts counts,
                                core::time_point now) const;
    /// Whether an own message about the upstream is wanted.
    static bool is_of_interest(upstream_evidence const& state,
                               core::time_point now);
    /// Starts or prolongs the export of evidence about an upstream.
    void raise_interest(upstream_evidence& state, core::time_point now);
    /// Renews the late thresholds from the smoothed latencies.
    void renew_thresholds();
    /// Renews the background rates from the healthier two thirds.
    void renew_background();
    /// Decides whether the fault is here, or shared.
    void judge_causes();
    /// Whether the evidence suffices to avoid the upstream.
    bool looks_sick(upstream_evidence const& state, core::time_point now) const;
    /// Score for an ejection: the whole evidence, weighed against the worst
    /// background of the last seconds. At the onset of an overload some
    /// upstreams collect a high score before the background is known.
    double eject_score(upstream_evidence const& state) const;
    /// Whether wrong answers alone suffice; they have no shared cause.
    bool answers_wrong(upstream_evidence const& state) const;
    /// Adds one observer's evidence to what all observers saw.
    void add_merged(upstream_evidence& state,
                    observer_evidence const& window,
                    evidence_counts const& counts,
                    double weight,
                    core::time_point now) const;
    /// Sum of the observers' scores without the largest one's.
    double support(upstream_evidence const& state,
                   core::time_point now,
                   unsigned& observers) const;
    /// Score of all observers of one domain.
    double domain_score(upstream_evidence const& state,
                        core::failure_domain const& domain) const;
    /// Moves one upstream's standing on.
    void decide(upstream_evidence& state, core::time_point now);
    /// Starts again without evidence.
    static void forget(upstream_evidence& state);

    /// Who monitors what.
    health_monitor_settings settings_;
    /// Weighs the evidence.
    outlier_detector detector_;
    /// What is known of each upstream.
    std::vector<upstream_evidence> upstreams_;
    /// Position of each upstream by id and by short hash.
    std::unordered_map<core::upstream_id, std::size_t> by_id_;
    std::unordered_map<std::uint32_t, std::size_t> by_hash_;
    /// Last message of each peer.
    std::unordered_map<core::instance_id, peer_state> peers_;
    /// What healthy upstreams show.
    background_rates background_;
    /// The worst background of the last seconds.
    background_rates peak_;
    /// When the last evidence was exported.
    core::time_point exported_;
    /// Sequence number of the last message.
    std::uint32_t sequence_ = 0;
    /// Where the next message starts if not all entries fit.
    std::size_t export_from_ = 0;
    /// See suspects_itself().
    bool suspects_itself_ = false;
    /// See cause_is_shared().
    bool cause_is_shared_ = false;
    /// See service_is_overloaded().
    bool service_is_overloaded_ = false;
};

} // namespace kumquatloom::health

#endif
