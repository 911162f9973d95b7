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

/// Score at which an observer tells its peers: one failure or two late
/// responses in a row. Single late responses are too common to be sent.
constexpr double interest_score = 4.5;
/// An upstream leaves the interest set early once nothing counts against it
/// for this long, because chance clusters of late responses are frequent.
constexpr core::duration benign_time = 1s;
/// Part of the avoidance score that one observer can bring to the evidence of
/// all observers.
constexpr double observer_cap = 0.5;
/// Bad evidence keeps an upstream in the interest set for this long.
constexpr core::duration interest_time = 5s;
/// Part of the avoidance score that observers other than the loudest one must
/// bring together, so that one broken observer needs real support.
constexpr double support_fraction = 1.0 / 3;
/// Score from which a failure domain counts as blaming an upstream.
constexpr double domain_blames = 3;
/// Time in which recent attempts fade to 1/e.
constexpr double recent_seconds = 1;
/// Time in which the peak of the background fades to 1/e. A fault of all
/// upstreams that was short is remembered until its evidence is used up.
constexpr double peak_seconds = 10;
/// An own failure pattern over more than this part of the upstreams in use,
/// and at least so many, points at this instance.
constexpr double spread_fraction = 0.4;
constexpr unsigned spread_least = 3;
/// An upstream is part of that pattern if this fraction of the recent attempts
/// was bad, and nearly one attempt at least after fading.
constexpr double spread_bad_fraction = 0.3;
constexpr double spread_bad_attempts = 0.9;
/// A peer that was silent for this long may have restarted its sequence.
constexpr core::duration sequence_memory = 10s;
/// Late responses of a new upstream are not counted: it starts cold.
constexpr core::duration warm_up = 10s;
/// Trial requests are spread over this time, so that the first results stop
/// the other instances of the domain.
constexpr core::duration trial_spread = 20s;
constexpr unsigned max_trials = 2;
/// Episodes end before their counts exceed 16 bits.
constexpr std::uint32_t max_episode_attempts = 60000;
/// Smoothed latencies of a region that make a median.
constexpr std::size_t min_latencies = 3;

std::uint32_t short_hash(core::upstream_id const& upstream)
{
    return static_cast<std::uint32_t>(core::stable_hash(upstream.value()));
}

/// Number of bad attempts. Wrong answers count twice, since healthy upstreams
/// give none.
unsigned bad_weight(evidence_counts const& counts)
{
    return counts.bad() + counts.wrong;
}

evidence_counts counts_of(attempt_result result)
{
    attempt_recorder one;
    one.record(result, core::duration::zero());
    return one.drain();
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
        auto& state = next.emplace_back();
        // Another recorder belongs to another process of the same name.
        if (known != nullptr && known->tracked.recorder == tracked.recorder)
            state = std::move(*known);
        else
            // Whoever starts finds its upstreams warm.
            state.first_seen = is_first ? now - warm_up : now;
        state.tracked = tracked;
        state.hash = short_hash(tracked.id);
        state.own.observe_from(settings_.domain);
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
    if (auto* const state = find(report.upstream))
        add_own(
            *state, take_recent(*state, counts_of(report.result), now), now);
}

void health_monitor::record_probe(core::upstream_id const& upstream,
                                  bool ok,
                                  core::time_point now)
{
    if (auto* const state = find(upstream))
        state->course.probed(ok, now);
}

bool health_monitor::is_outdated(evidence_message const& message,
                                 core::time_point now)
{
    auto const [peer, is_new] = peers_.try_emplace(message.observer);
    auto const step =
        static_cast<std::int32_t>(message.sequence - peer->second.sequence);
    bool const outdated =
        !is_new && step <= 0 && now - peer->second.received < sequence_memory;
    if (!outdated)
        peer->second = {message.sequence, now};
    return outdated;
}

void health_monitor::merge(evidence_message const& message,
                           core::time_point received)
{
    // An own message may come back through a peer.
    if (message.service != settings_.service ||
        message.observer == settings_.observer ||
        is_outdated(message, received))
        return;
    for (auto const& entry : message.entries)
    {
        auto const found = by_hash_.find(entry.upstream);
        if (found == by_hash_.end())
            continue;
        auto& state = upstreams_[found->second];
        auto& window = state.peers[message.observer];
        window.observe_from(message.domain);
        auto const news = window.news_of(entry);
        double const weight = detector_.weigh(news, background_);
        add_merged(state, window, news, weight, received);
        window.add(news, weight, received);
        if (news.bad() > 0)
            raise_interest(state, received);
    }
}

void health_monitor::tick(core::time_point now)
{
    // Collect what the request path recorded.
    double const keep = std::exp(
        -std::chrono::duration<double>(tick_interval).count() / recent_seconds);
    for (auto& state : upstreams_)
    {
        state.recent_total *= keep;
        state.recent_failed *= keep;
        state.recent_late *= keep;
        state.recent_refused *= keep;
        if (!state.tracked.recorder)
            continue;
        state.recent_refused += state.tracked.recorder->drain_refusals();
        state.drained =
            take_recent(state, state.tracked.recorder->drain(), now);
    }
    // Renewed at every tick, as latencies double within 200 ms of an overload.
    // The background comes first, so that a sudden fault of all upstreams is
    // not weighed by what was usual before.
    renew_thresholds();
    renew_background();
    for (auto& state : upstreams_)
        add_own(state, std::exchange(state.drained, {}), now);
    // Decide with the evidence of all observers.
    judge_causes();
    for (auto& state : upstreams_)
        decide(state, now);
}

bool health_monitor::export_due(core::time_point now) const
{
    // Half a tick of tolerance keeps the interval from growing to a multiple
    // of the tick.
    if (suspects_itself_ ||
        now - exported_ < export_interval - tick_interval / 2)
        return false;
    return std::any_of(upstreams_.begin(),
                       upstreams_.end(),
                       [&](upstream_evidence const& state)
                       {
                           return is_of_interest(state, now);
                       });
}

evidence_message health_monitor::export_evidence(core::time_point now)
{
    exported_ = now;
    evidence_message message;
    message.service = settings_.service;
    message.observer = settings_.observer;
    message.domain = settings_.domain;
    message.sequence = ++sequence_;
    if (suspects_itself_)
        return message;
    // If more upstreams are of interest than fit, messages take turns.
    std::size_t const size = upstreams_.size();
    for (std::size_t i = 0; i < size; ++i)
    {
        std::size_t const at = (export_from_ + i) % size;
        auto const& state = upstreams_[at];
        if (!is_of_interest(state, now))
            continue;
        if (message.entries.size() == max_evidence_entries)
        {
            export_from_ = at;
            break;
        }
        message.entries.push_back(
            {state.hash, state.episode, state.episode_counts});
    }
    return message;
}

void health_monitor::ejection_changed(core::upstream_id const& upstream,
                                      bool ejected,
                                      core::time_point now)
{
    auto* const state = find(upstream);
    if (state == nullptr)
        return;
    bool const was = state->course.standing() == upstream_standing::ejected;
    if (ejected && !was)
        state->course.eject(now);
    if (ejected || !was)
        return;
    state->course.end(now);
    forget(*state);
}

upstream_standing health_monitor::standing(core::upstream_id const& upstream,
                                           core::time_point now) const
{
    auto const* const state = find(upstream);
    if (state == nullptr)
        return upstream_standing::normal;
    auto const standing = state->course.standing();
    bool const recovered =
        standing == upstream_standing::recovering &&
        now - state->course.since() >= settings_.detection.recovery_time;
    return recovered ? upstream_standing::normal : standing;
}

double health_monitor::weight(core::upstream_id const& upstream,
                              core::time_point now) const
{
    auto const* const state = find(upstream);
    return state == nullptr
               ? 1
               : state->course.weight(settings_.detection.recovery_time, now);
}

double health_monitor::severity(core::upstream_id const& upstream) const
{
    auto const* const state = find(upstream);
    return state == nullptr ? 0 : state->severity;
}

bool health_monitor::take_trial(core::upstream_id const& upstream,
                                core::time_point now)
{
    auto* const state = find(upstream);
    if (state == nullptr || state->trials >= max_trials ||
        state->course.standing() != upstream_standing::avoided ||
        domain_score(*state, settings_.domain) >= domain_blames)
        return false;
    auto const place =
        core::stable_hash(settings_.observer.value(), state->hash) %
        static_cast<std::uint64_t>(trial_spread.count());
    auto const due = state->course.since() +
                     core::duration(static_cast<core::duration::rep>(place)) +
                     state->trials * trial_spread;
    if (now < due)
        return false;
    ++state->trials;
    return true;
}

bool health_monitor::probes_confirm(core::upstream_id const& upstream,
                                    core::time_point now) const
{
    auto const* const state = find(upstream);
    return state != nullptr && state->course.probes_confirm(now);
}

std::vector<ejection_candidate>
health_monitor::ejection_candidates(core::time_point now) const
{
    std::vector<ejection_candidate> found;
    if (suspects_itself_ || cause_is_shared_)
        return found;
    for (auto const& state : upstreams_)
    {
        if (state.course.standing() != upstream_standing::avoided ||
            now - state.course.since() < settings_.detection.sustained ||
            eject_score(state) < settings_.detection.eject_score)
            continue;
        std::set<core::failure_domain> domains;
        if (state.own.score() > 0)
            domains.insert(settings_.domain);
        for (auto const& [id, window] : state.peers)
            if (window.score() > 0)
                domains.insert(window.domain());
        auto const blames = [&](core::failure_domain const& domain)
        {
            return domain_score(state, domain) >= domain_blames;
        };
        auto const count =
            std::count_if(domains.begin(), domains.end(), blames);
        found.push_back({state.tracked.id,
                         state.severity,
                         state.course.since(),
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

evidence_counts health_monitor::take_recent(upstream_evidence& state,
                                            evidence_counts counts,
                                            core::time_point now) const
{
    if (now - state.first_seen < warm_up || service_is_overloaded_)
        counts.late = 0;
    state.recent_total += counts.total();
    state.recent_failed += counts.error + counts.timeout;
    state.recent_late += counts.late;
    return counts;
}

void health_monitor::add_own(upstream_evidence& state,
                             evidence_counts const& counts,
                             core::time_point now)
{
    if (counts.total() == 0)
        return;
    state.episode_counts += counts;
    double const weight = detector_.weigh(counts, background_);
    // A suspect observer does not count its own evidence.
    if (!suspects_itself_)
        add_merged(state, state.own, counts, weight, now);
    state.own.add(counts, weight, now);
    if (counts.bad() > 0 && state.own.score() >= interest_score)
        raise_interest(state, now);
}

void health_monitor::add_merged(upstream_evidence& state,
                                observer_evidence const& window,
                                evidence_counts const& counts,
                                double weight,
                                core::time_point now) const
{
    double const cap = observer_cap * settings_.detection.avoid_score;
    state.merged.add(counts, window.counted_part(weight, cap), now);
}

bool health_monitor::is_of_interest(upstream_evidence const& state,
                                    core::time_point now)
{
    return now < state.interest_until && state.episode_counts.total() > 0;
}

void health_monitor::raise_interest(upstream_evidence& state,
                                    core::time_point now)
{
    if (now >= state.interest_until ||
        state.episode_counts.total() > max_episode_attempts)
    {
        ++state.episode;
        state.episode_counts = state.own.run();
    }
    state.interest_until = now + interest_time;
}

void health_monitor::renew_thresholds()
{
    // Sort the latencies of each region, and those of all regions.
    std::map<core::region, std::vector<core::duration>> by_region;
    std::vector<core::duration> all;
    for (auto const& state : upstreams_)
    {
        if (!state.tracked.recorder)
            continue;
        auto const latency = state.tracked.recorder->smoothed_latency();
        if (latency <= core::duration::zero())
            continue;
        by_region[state.tracked.region].push_back(latency);
        all.push_back(latency);
    }
    std::sort(all.begin(), all.end());
    for (auto& [region, latencies] : by_region)
        std::sort(latencies.begin(), latencies.end());
    for (auto& state : upstreams_)
    {
        if (!state.tracked.recorder)
            continue;
        // Other regions serve as a measure only where there is no better one.
        auto const& region = by_region[state.tracked.region];
        auto const& group = region.size() > min_latencies ? region : all;
        state.tracked.recorder->judge_late_above(detector_.late_threshold(
            group, state.tracked.recorder->smoothed_latency()));
    }
}

void health_monitor::renew_background()
{
    struct rates
    {
        double bad_fraction;
        upstream_evidence const* state;
    };
    std::vector<rates> sampled;
    for (auto const& state : upstreams_)
        if (state.recent_total >= 1)
            sampled.push_back(
                {(state.recent_failed + state.recent_late) / state.recent_total,
                 &state});
    std::sort(sampled.begin(),
              sampled.end(),
              [](rates const& left, rates const& right)
              {
                  return left.bad_fraction < right.bad_fraction;
              });
    // The worst third may be sick, and must not hide itself.
    std::size_t const used = sampled.size() - sampled.size() / 3;
    double total = 0;
    background_ = {};
    for (std::size_t i = 0; i < used; ++i)
    {
        total += sampled[i].state->recent_total;
        background_.failed += sampled[i].state->recent_failed;
        background_.late += sampled[i].state->recent_late;
    }
    if (total > 0)
    {
        background_.failed /= total;
        background_.late /= total;
    }
    double const keep = std::exp(
        -std::chrono::duration<double>(tick_interval).count() / peak_seconds);
    peak_.failed = std::max(background_.failed, peak_.failed * keep);
    peak_.late = std::max(background_.late, peak_.late * keep);
}

void health_monitor::judge_causes()
{
    unsigned in_use = 0;
    unsigned own_bad = 0;
    unsigned seen = 0;
    unsigned sick = 0;
    unsigned refusing = 0;
    for (auto const& state : upstreams_)
    {
        bool const is_sampled = state.recent_total >= 1;
        bool const is_kept_out =
            state.course.standing() == upstream_standing::avoided ||
            state.course.standing() == upstream_standing::ejected;
        if (is_sampled)
            ++in_use;
        if (state.recent_refused >= 1)
            ++refusing;
        double const bad = state.recent_failed + state.recent_late;
        if (bad >= spread_bad_attempts &&
            bad >= spread_bad_fraction * state.recent_total)
            ++own_bad;
        if (is_sampled || is_kept_out)
            ++seen;
        if (is_kept_out ||
            state.merged.score() >= settings_.detection.avoid_score / 2)
            ++sick;
    }
    suspects_itself_ =
        own_bad >= spread_least && own_bad > spread_fraction * in_use;
    service_is_overloaded_ = refusing >= 2 && 2 * refusing > in_use;
    cause_is_shared_ = sick >= 2 && 2 * sick > seen;
}

bool health_monitor::looks_sick(upstream_evidence const& state,
                                core::time_point now) const
{
    auto const& asked = settings_.detection;
    if (cause_is_shared_ && !answers_wrong(state))
        return false;
    // This instance alone saw enough.
    if (!suspects_itself_ && state.own.score() >= asked.avoid_score &&
        bad_weight(state.own.run()) >= asked.min_bad)
        return true;
    unsigned observers = 0;
    double const others = support(state, now, observers);
    return state.merged.score() >= asked.avoid_score &&
           bad_weight(state.merged.run()) >= asked.min_bad &&
           observers >= asked.min_observers &&
           others >= asked.avoid_score * support_fraction;
}

double health_monitor::eject_score(upstream_evidence const& state) const
{
    return std::min(state.merged.score(),
                    detector_.weigh(state.merged.run(), peak_));
}

bool health_monitor::answers_wrong(upstream_evidence const& state) const
{
    return outlier_detector::weigh_wrong(state.merged.run()) >=
           settings_.detection.avoid_score;
}

double health_monitor::support(upstream_evidence const& state,
                               core::time_point now,
                               unsigned& observers) const
{
    double sum = 0;
    double largest = 0;
    auto const add = [&](observer_evidence const& window)
    {
        if (window.score() <= 0 || now - window.last_bad() >= interest_time)
            return;
        ++observers;
        sum += window.score();
        largest = std::max(largest, window.score());
    };
    if (!suspects_itself_)
        add(state.own);
    for (auto const& [id, window] : state.peers)
        add(window);
    return sum - largest;
}

double health_monitor::domain_score(upstream_evidence const& state,
                                    core::failure_domain const& domain) const
{
    double score = 0;
    if (settings_.domain == domain && !suspects_itself_)
        score += state.own.score();
    for (auto const& [id, window] : state.peers)
        if (window.domain() == domain)
            score += window.score();
    return score;
}

void health_monitor::decide(upstream_evidence& state, core::time_point now)
{
    bool const is_quiet =
        now - std::max(state.merged.last_bad(), state.own.last_bad()) >=
        interest_time;
    bool const is_benign = state.merged.score() <= 0 &&
                           now - state.merged.last_bad() >= benign_time;
    if (is_benign)
        state.interest_until = std::min(state.interest_until, now);
    switch (state.course.standing())
    {
    case upstream_standing::normal:
    case upstream_standing::recovering:
        if (looks_sick(state, now))
        {
            state.severity = std::max(state.merged.score(), state.own.score());
            state.trials = 0;
            state.course.begin(now);
        }
        else if (is_quiet && state.merged.score() > 0)
            forget(state);
        else
            state.course.advance(settings_.detection.recovery_time, now);
        break;
    case upstream_standing::avoided:
        state.severity = std::max(state.severity, state.merged.score());
        if (cause_is_shared_ && !answers_wrong(state))
        {
            state.course.end(now);
            forget(state);
        }
        else if (state.course.advance(settings_.detection.recovery_time, now))
            forget(state);
        break;
    case upstream_standing::ejected:
    case upstream_standing::leaving:
    case upstream_standing::count:
        break;
    }
}

void health_monitor::forget(upstream_evidence& state)
{
    state.own.reset();
    state.merged.reset();
    for (auto& [id, window] : state.peers)
        window.reset();
}

} // namespace kumquatloom::health
