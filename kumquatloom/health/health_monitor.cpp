#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/health/health_monitor.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace kumquatloom::health
{

namespace
{

using namespace std::chrono_literals;

/// Score from which an observer exports evidence: one failure or two
/// consecutive late responses. Single late responses are too common to be sent.
constexpr double export_score = 4.5;
/// The export of evidence ends early if the combined score is zero and the last
/// bad attempt counted in it is this old, because random clusters of late
/// responses are frequent.
constexpr core::duration export_clear_time = 1s;
/// Fraction of the avoidance score that one observer can contribute to the
/// combined score.
constexpr double observer_cap = 0.5;
/// Time for which a bad attempt counts as recent: evidence is exported, and an
/// observer counts as corroborating, for this long.
constexpr core::duration recent_evidence_time = 5s;
/// Fraction of the avoidance score that the observers other than the one with
/// the highest score must contribute together, so that a single faulty observer
/// cannot cause an avoidance.
constexpr double corroboration_fraction = 1.0 / 3;
/// Sum of scores from which the observers of a failure domain report an
/// upstream as unhealthy.
constexpr double unhealthy_domain_score = 3;
/// Time constant of the exponential decay of recent attempts, in seconds.
constexpr double recent_decay_seconds = 1;
/// Time constant of the exponential decay of the peak background rates, in
/// seconds. After a short fault of all upstreams, the peak rates stay raised
/// until the evidence from that fault has expired.
constexpr double peak_decay_seconds = 10;
/// A local fault is suspected if this instance sees failures at more than this
/// fraction of the upstreams in use, and at no fewer than this number.
constexpr double local_fault_fraction = 0.4;
constexpr unsigned local_fault_min_upstreams = 3;
/// Minimum fraction and decayed number of bad recent attempts for an upstream
/// to count as failing; 0.9 is just below one attempt after the decay of one
/// tick.
constexpr double failing_min_fraction = 0.3;
constexpr double failing_min_attempts = 0.9;
/// A peer that sent nothing for this long may have restarted its sequence
/// numbers.
constexpr core::duration sequence_timeout = 10s;
/// Late responses of a new upstream are not counted for this long, because it
/// starts cold.
constexpr core::duration warm_up_time = 10s;
/// Trial requests of the instances of a failure domain are spread over this
/// time, so that the first results make the remaining ones unnecessary.
constexpr core::duration trial_window = 20s;
constexpr unsigned max_trials = 2;
/// A new episode starts before the counts exceed 16 bits.
constexpr std::uint32_t max_episode_attempts = 60000;
/// Number of smoothed latencies up to which a region has too few for a median
/// of its own.
constexpr std::size_t too_few_latencies = 3;

std::uint32_t short_hash(core::upstream_id const& upstream)
{
    return static_cast<std::uint32_t>(core::stable_hash(upstream.value()));
}

/// Number of bad attempts. Wrong responses count twice, because healthy
/// upstreams send none.
unsigned weighted_bad_attempts(evidence_counts const& counts)
{
    return counts.bad() + counts.wrong;
}

evidence_counts counts_of(attempt_result result)
{
    attempt_recorder recorder;
    recorder.record(result, core::duration::zero());
    return recorder.drain();
}

} // namespace

health_monitor::health_monitor(health_monitor_settings settings)
    : settings_(std::move(settings))
    , detector_(settings_.detection)
{
}

void health_monitor::track(std::vector<tracked_upstream> const& upstreams,
                           core::time_point now)
{
    std::vector<upstream_evidence> next;
    next.reserve(upstreams.size());
    bool const is_first = upstreams_.empty();
    for (auto const& tracked : upstreams)
    {
        auto* const known = find(tracked.id);
        auto& evidence = next.emplace_back();
        // A different recorder belongs to a new process with the same id.
        if (known != nullptr && known->tracked.recorder == tracked.recorder)
            evidence = std::move(*known);
        else
            // When this instance starts, its first upstreams are already warm.
            evidence.first_seen = is_first ? now - warm_up_time : now;
        evidence.tracked = tracked;
        evidence.hash = short_hash(tracked.id);
        evidence.local.assign_domain(settings_.domain);
    }
    upstreams_ = std::move(next);
    by_id_.clear();
    by_hash_.clear();
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        by_id_[upstreams_[i].tracked.id] = i;
        by_hash_[upstreams_[i].hash] = i;
    }
}

void health_monitor::change_detection(
    outlier_detector_settings const& detection)
{
    settings_.detection = detection;
    detector_ = outlier_detector(detection);
}

void health_monitor::record(attempt_report const& report, core::time_point now)
{
    if (auto* const evidence = find(report.upstream))
        add_local(*evidence,
                  add_recent(*evidence, counts_of(report.result), now),
                  now);
}

void health_monitor::record_probe(core::upstream_id const& upstream,
                                  bool ok,
                                  core::time_point now)
{
    if (auto* const evidence = find(upstream))
        evidence->state_machine.add_probe_result(ok, now);
}

bool health_monitor::is_outdated(evidence_message const& message,
                                 core::time_point now)
{
    auto const [peer, is_new] = peers_.try_emplace(message.observer);
    auto const step =
        static_cast<std::int32_t>(message.sequence - peer->second.sequence);
    bool const outdated =
        !is_new && step <= 0 && now - peer->second.received < sequence_timeout;
    if (!outdated)
        peer->second = {message.sequence, now};
    return outdated;
}

void health_monitor::merge(evidence_message const& message,
                           core::time_point received)
{
    // A message of this instance may come back through a peer.
    if (message.service != settings_.service ||
        message.observer == settings_.observer ||
        is_outdated(message, received))
        return;
    for (auto const& entry : message.entries)
    {
        auto const found = by_hash_.find(entry.upstream);
        if (found == by_hash_.end())
            continue;
        auto& evidence = upstreams_[found->second];
        auto& observer = evidence.peers[message.observer];
        observer.assign_domain(message.domain);
        auto const new_counts = observer.take_new_counts(entry);
        double const weight = detector_.weigh(new_counts, background_);
        add_combined(evidence, observer, new_counts, weight, received);
        observer.add(new_counts, weight, received);
        if (new_counts.bad() > 0)
            extend_export(evidence, received);
    }
}

void health_monitor::tick(core::time_point now)
{
    double const decay =
        std::exp(-std::chrono::duration<double>(tick_interval).count() /
                 recent_decay_seconds);
    for (auto& evidence : upstreams_)
    {
        evidence.recent_total *= decay;
        evidence.recent_failed *= decay;
        evidence.recent_late *= decay;
        evidence.recent_refused *= decay;
        if (!evidence.tracked.recorder)
            continue;
        evidence.recent_refused += evidence.tracked.recorder->drain_refusals();
        evidence.drained_counts =
            add_recent(evidence, evidence.tracked.recorder->drain(), now);
    }
    // Thresholds are updated at every tick, because latencies double within 200
    // ms of an overload. The background rates are updated before the evidence
    // is scored, so that a sudden fault of all upstreams is not scored against
    // the old rates.
    update_late_thresholds();
    update_background_rates();
    for (auto& evidence : upstreams_)
        add_local(evidence, std::exchange(evidence.drained_counts, {}), now);
    classify_faults();
    for (auto& evidence : upstreams_)
        decide(evidence, now);
}

bool health_monitor::export_due(core::time_point now) const
{
    // Half a tick of tolerance keeps the interval from being rounded up to a
    // multiple of the tick.
    if (suspects_local_fault_ ||
        now - last_export_ < export_interval - tick_interval / 2)
        return false;
    return std::any_of(upstreams_.begin(),
                       upstreams_.end(),
                       [&](upstream_evidence const& evidence)
                       {
                           return should_export(evidence, now);
                       });
}

evidence_message health_monitor::export_evidence(core::time_point now)
{
    last_export_ = now;
    evidence_message message;
    message.service = settings_.service;
    message.observer = settings_.observer;
    message.domain = settings_.domain;
    message.sequence = ++sequence_;
    if (suspects_local_fault_)
        return message;
    // If not all entries fit into one message, the next message continues after
    // the last entry of this one.
    std::size_t const size = upstreams_.size();
    for (std::size_t i = 0; i < size; ++i)
    {
        std::size_t const index = (next_export_index_ + i) % size;
        auto const& evidence = upstreams_[index];
        if (!should_export(evidence, now))
            continue;
        if (message.entries.size() == max_evidence_entries)
        {
            next_export_index_ = index;
            break;
        }
        message.entries.push_back(
            {evidence.hash, evidence.episode, evidence.episode_counts});
    }
    return message;
}

void health_monitor::update_ejection(core::upstream_id const& upstream,
                                     bool ejected,
                                     core::time_point now)
{
    auto* const evidence = find(upstream);
    if (evidence == nullptr)
        return;
    bool const was_ejected =
        evidence->state_machine.standing() == upstream_standing::ejected;
    if (ejected && !was_ejected)
        evidence->state_machine.eject(now);
    if (ejected || !was_ejected)
        return;
    evidence->state_machine.recover(now);
    reset_evidence(*evidence);
}

upstream_standing health_monitor::standing(core::upstream_id const& upstream,
                                           core::time_point now) const
{
    auto const* const evidence = find(upstream);
    if (evidence == nullptr)
        return upstream_standing::normal;
    auto const current = evidence->state_machine.standing();
    bool const recovered = current == upstream_standing::recovering &&
                           now - evidence->state_machine.since() >=
                               settings_.detection.recovery_time;
    return recovered ? upstream_standing::normal : current;
}

double health_monitor::weight(core::upstream_id const& upstream,
                              core::time_point now) const
{
    auto const* const evidence = find(upstream);
    return evidence == nullptr ? 1
                               : evidence->state_machine.weight(
                                     settings_.detection.recovery_time, now);
}

double health_monitor::severity(core::upstream_id const& upstream) const
{
    auto const* const evidence = find(upstream);
    return evidence == nullptr ? 0 : evidence->severity;
}

bool health_monitor::claim_trial(core::upstream_id const& upstream,
                                 core::time_point now)
{
    auto* const evidence = find(upstream);
    if (evidence == nullptr || evidence->trials >= max_trials ||
        evidence->state_machine.standing() != upstream_standing::avoided ||
        domain_score(*evidence, settings_.domain) >= unhealthy_domain_score)
        return false;
    auto const offset =
        core::stable_hash(settings_.observer.value(), evidence->hash) %
        static_cast<std::uint64_t>(trial_window.count());
    auto const due = evidence->state_machine.since() +
                     core::duration(static_cast<core::duration::rep>(offset)) +
                     evidence->trials * trial_window;
    if (now < due)
        return false;
    ++evidence->trials;
    return true;
}

bool health_monitor::probes_allow_readmission(core::upstream_id const& upstream,
                                              core::time_point now) const
{
    auto const* const evidence = find(upstream);
    return evidence != nullptr &&
           evidence->state_machine.probes_allow_readmission(now);
}

std::vector<ejection_candidate>
health_monitor::ejection_candidates(core::time_point now) const
{
    std::vector<ejection_candidate> found;
    if (suspects_local_fault_ || suspects_shared_fault_)
        return found;
    for (auto const& evidence : upstreams_)
    {
        if (evidence.state_machine.standing() != upstream_standing::avoided ||
            now - evidence.state_machine.since() <
                settings_.detection.min_avoided_time ||
            score_for_ejection(evidence) < settings_.detection.eject_score)
            continue;
        std::set<core::failure_domain> domains;
        if (evidence.local.score() > 0)
            domains.insert(settings_.domain);
        for (auto const& [id, observer] : evidence.peers)
            if (observer.score() > 0)
                domains.insert(observer.domain());
        auto const reports_unhealthy = [&](core::failure_domain const& domain)
        {
            return domain_score(evidence, domain) >= unhealthy_domain_score;
        };
        auto const count =
            std::count_if(domains.begin(), domains.end(), reports_unhealthy);
        found.push_back({evidence.tracked.id,
                         evidence.severity,
                         evidence.state_machine.since(),
                         static_cast<unsigned>(count)});
    }
    std::sort(
        found.begin(),
        found.end(),
        [](ejection_candidate const& left, ejection_candidate const& right)
        {
            return left.severity > right.severity;
        });
    return found;
}

upstream_evidence* health_monitor::find(core::upstream_id const& upstream)
{
    auto const found = by_id_.find(upstream);
    return found == by_id_.end() ? nullptr : &upstreams_[found->second];
}

upstream_evidence const*
health_monitor::find(core::upstream_id const& upstream) const
{
    auto const found = by_id_.find(upstream);
    return found == by_id_.end() ? nullptr : &upstreams_[found->second];
}

evidence_counts health_monitor::add_recent(upstream_evidence& evidence,
                                           evidence_counts counts,
                                           core::time_point now) const
{
    if (now - evidence.first_seen < warm_up_time || service_is_overloaded_)
        counts.late = 0;
    evidence.recent_total += counts.total();
    evidence.recent_failed += counts.error + counts.timeout;
    evidence.recent_late += counts.late;
    return counts;
}

void health_monitor::add_local(upstream_evidence& evidence,
                               evidence_counts const& counts,
                               core::time_point now)
{
    if (counts.total() == 0)
        return;
    evidence.episode_counts += counts;
    double const weight = detector_.weigh(counts, background_);
    // If a local fault is suspected, the evidence of this instance does not
    // count towards the combined score.
    if (!suspects_local_fault_)
        add_combined(evidence, evidence.local, counts, weight, now);
    evidence.local.add(counts, weight, now);
    if (counts.bad() > 0 && evidence.local.score() >= export_score)
        extend_export(evidence, now);
}

void health_monitor::add_combined(upstream_evidence& evidence,
                                  observer_evidence const& observer,
                                  evidence_counts const& counts,
                                  double weight,
                                  core::time_point now) const
{
    double const cap = observer_cap * settings_.detection.avoid_score;
    evidence.combined.add(counts, observer.limited_weight(weight, cap), now);
}

bool health_monitor::should_export(upstream_evidence const& evidence,
                                   core::time_point now)
{
    return now < evidence.export_until && evidence.episode_counts.total() > 0;
}

void health_monitor::extend_export(upstream_evidence& evidence,
                                   core::time_point now)
{
    if (now >= evidence.export_until ||
        evidence.episode_counts.total() > max_episode_attempts)
    {
        ++evidence.episode;
        evidence.episode_counts = evidence.local.counts_since_zero();
    }
    evidence.export_until = now + recent_evidence_time;
}

void health_monitor::update_late_thresholds()
{
    std::map<core::region, std::vector<core::duration>> by_region;
    std::vector<core::duration> all;
    for (auto const& evidence : upstreams_)
    {
        if (!evidence.tracked.recorder)
            continue;
        auto const latency = evidence.tracked.recorder->smoothed_latency();
        if (latency <= core::duration::zero())
            continue;
        by_region[evidence.tracked.region].push_back(latency);
        all.push_back(latency);
    }
    std::sort(all.begin(), all.end());
    for (auto& [region, latencies] : by_region)
        std::sort(latencies.begin(), latencies.end());
    for (auto& evidence : upstreams_)
    {
        if (!evidence.tracked.recorder)
            continue;
        // The latencies of other regions are used only if the upstream's own
        // region has too few.
        auto const& region = by_region[evidence.tracked.region];
        auto const& group = region.size() > too_few_latencies ? region : all;
        evidence.tracked.recorder->change_late_threshold(
            detector_.late_threshold(
                group, evidence.tracked.recorder->smoothed_latency()));
    }
}

void health_monitor::update_background_rates()
{
    struct sample
    {
        double bad_fraction;
        upstream_evidence const* evidence;
    };
    std::vector<sample> samples;
    for (auto const& evidence : upstreams_)
        if (evidence.recent_total >= 1)
            samples.push_back({(evidence.recent_failed + evidence.recent_late) /
                                   evidence.recent_total,
                               &evidence});
    std::sort(samples.begin(),
              samples.end(),
              [](sample const& left, sample const& right)
              {
                  return left.bad_fraction < right.bad_fraction;
              });
    // The third of the upstreams with the highest fractions of bad attempts is
    // left out: unhealthy upstreams must not raise the background rates against
    // which they are scored.
    std::size_t const used = samples.size() - samples.size() / 3;
    double total = 0;
    background_ = {};
    for (std::size_t i = 0; i < used; ++i)
    {
        total += samples[i].evidence->recent_total;
        background_.failed += samples[i].evidence->recent_failed;
        background_.late += samples[i].evidence->recent_late;
    }
    if (total > 0)
    {
        background_.failed /= total;
        background_.late /= total;
    }
    double const decay =
        std::exp(-std::chrono::duration<double>(tick_interval).count() /
                 peak_decay_seconds);
    peak_background_.failed =
        std::max(background_.failed, peak_background_.failed * decay);
    peak_background_.late =
        std::max(background_.late, peak_background_.late * decay);
}

void health_monitor::classify_faults()
{
    unsigned in_use = 0;
    unsigned failing = 0;
    unsigned assessed = 0;
    unsigned unhealthy = 0;
    unsigned refusing = 0;
    for (auto const& evidence : upstreams_)
    {
        bool const is_sampled = evidence.recent_total >= 1;
        bool const is_out_of_service =
            evidence.state_machine.standing() == upstream_standing::avoided ||
            evidence.state_machine.standing() == upstream_standing::ejected;
        if (is_sampled)
            ++in_use;
        if (evidence.recent_refused >= 1)
            ++refusing;
        double const bad = evidence.recent_failed + evidence.recent_late;
        if (bad >= failing_min_attempts &&
            bad >= failing_min_fraction * evidence.recent_total)
            ++failing;
        if (is_sampled || is_out_of_service)
            ++assessed;
        if (is_out_of_service ||
            evidence.combined.score() >= settings_.detection.avoid_score / 2)
            ++unhealthy;
    }
    suspects_local_fault_ = failing >= local_fault_min_upstreams &&
                            failing > local_fault_fraction * in_use;
    service_is_overloaded_ = refusing >= 2 && 2 * refusing > in_use;
    suspects_shared_fault_ = unhealthy >= 2 && 2 * unhealthy > assessed;
}

bool health_monitor::should_avoid(upstream_evidence const& evidence,
                                  core::time_point now) const
{
    auto const& required = settings_.detection;
    if (suspects_shared_fault_ && !wrong_responses_suffice(evidence))
        return false;
    // A sufficient score of this instance needs no other observers.
    if (!suspects_local_fault_ &&
        evidence.local.score() >= required.avoid_score &&
        weighted_bad_attempts(evidence.local.counts_since_zero()) >=
            required.min_bad_attempts)
        return true;
    unsigned observers = 0;
    double const corroborating = corroboration(evidence, now, observers);
    return evidence.combined.score() >= required.avoid_score &&
           weighted_bad_attempts(evidence.combined.counts_since_zero()) >=
               required.min_bad_attempts &&
           observers >= required.min_observers &&
           corroborating >= required.avoid_score * corroboration_fraction;
}

double
health_monitor::score_for_ejection(upstream_evidence const& evidence) const
{
    return std::min(evidence.combined.score(),
                    detector_.weigh(evidence.combined.counts_since_zero(),
                                    peak_background_));
}

bool health_monitor::wrong_responses_suffice(
    upstream_evidence const& evidence) const
{
    return outlier_detector::weigh_wrong(
               evidence.combined.counts_since_zero()) >=
           settings_.detection.avoid_score;
}

double health_monitor::corroboration(upstream_evidence const& evidence,
                                     core::time_point now,
                                     unsigned& observers) const
{
    double sum = 0;
    double largest = 0;
    auto const add = [&](observer_evidence const& observer)
    {
        if (observer.score() <= 0 ||
            now - observer.last_bad() >= recent_evidence_time)
            return;
        ++observers;
        sum += observer.score();
        largest = std::max(largest, observer.score());
    };
    if (!suspects_local_fault_)
        add(evidence.local);
    for (auto const& [id, observer] : evidence.peers)
        add(observer);
    return sum - largest;
}

double health_monitor::domain_score(upstream_evidence const& evidence,
                                    core::failure_domain const& domain) const
{
    double score = 0;
    if (settings_.domain == domain && !suspects_local_fault_)
        score += evidence.local.score();
    for (auto const& [id, observer] : evidence.peers)
        if (observer.domain() == domain)
            score += observer.score();
    return score;
}

void health_monitor::decide(upstream_evidence& evidence, core::time_point now)
{
    bool const is_quiet = now - std::max(evidence.combined.last_bad(),
                                         evidence.local.last_bad()) >=
                          recent_evidence_time;
    bool const is_clear =
        evidence.combined.score() <= 0 &&
        now - evidence.combined.last_bad() >= export_clear_time;
    if (is_clear)
        evidence.export_until = std::min(evidence.export_until, now);
    switch (evidence.state_machine.standing())
    {
    case upstream_standing::normal:
    case upstream_standing::recovering:
        if (should_avoid(evidence, now))
        {
            evidence.severity =
                std::max(evidence.combined.score(), evidence.local.score());
            evidence.trials = 0;
            evidence.state_machine.avoid(now);
        }
        else if (is_quiet && evidence.combined.score() > 0)
            reset_evidence(evidence);
        else
            evidence.state_machine.advance(settings_.detection.recovery_time,
                                           now);
        break;
    case upstream_standing::avoided:
        evidence.severity =
            std::max(evidence.severity, evidence.combined.score());
        if (suspects_shared_fault_ && !wrong_responses_suffice(evidence))
        {
            evidence.state_machine.recover(now);
            reset_evidence(evidence);
        }
        else if (evidence.state_machine.advance(
                     settings_.detection.recovery_time, now))
            reset_evidence(evidence);
        break;
    case upstream_standing::ejected:
    case upstream_standing::leaving:
    case upstream_standing::count:
        break;
    }
}

void health_monitor::reset_evidence(upstream_evidence& evidence)
{
    evidence.local.reset();
    evidence.combined.reset();
    for (auto& [id, observer] : evidence.peers)
        observer.reset();
}

} // namespace kumquatloom::health
