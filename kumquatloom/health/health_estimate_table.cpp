#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/health/health_estimate_table.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatloom::health
{

namespace
{

/// Weight of one sample in the moving average of the service's latency.
constexpr double latency_sample_weight = 0.05;

} // namespace

health_estimate_table::health_estimate_table(
    health_estimate_settings const& settings, double protected_fraction)
    : settings_(settings)
    , protected_fraction_(protected_fraction)
{
}

void health_estimate_table::track(
    std::vector<core::upstream_id> const& upstreams, core::time_point now)
{
    std::unordered_map<core::upstream_id, upstream_state> next;
    for (auto const& id : upstreams)
    {
        auto const known = upstreams_.find(id);
        next.emplace(id,
                     known != upstreams_.end()
                         ? known->second
                         : upstream_state{health_estimate(settings_, now),
                                          now,
                                          coverage_schedule(now)});
    }
    upstreams_ = std::move(next);
}

double health_estimate_table::record(attempt_report const& report,
                                     core::time_point now)
{
    std::chrono::duration<double> const latency = report.latency;
    bool const success = report.result == attempt_result::success;
    bool const is_late =
        success && smoothed_latency_seconds_ > 0 &&
        latency.count() > settings_.late_factor * smoothed_latency_seconds_;
    if (success)
        smoothed_latency_seconds_ =
            smoothed_latency_seconds_ == 0
                ? latency.count()
                : smoothed_latency_seconds_ +
                      latency_sample_weight *
                          (latency.count() - smoothed_latency_seconds_);
    auto weight = settings_.weight(report.result, is_late);
    if (success && !is_late && avoided_log_odds(report.upstream, now))
        weight = settings_.recovery_weight;
    merge(report.upstream, weight, now);
    return weight;
}

void health_estimate_table::merge(core::upstream_id const& upstream,
                                  double weight,
                                  core::time_point now)
{
    auto const found = upstreams_.find(upstream);
    if (found != upstreams_.end() && weight != 0)
        add(upstream, found->second, weight, now);
}

void health_estimate_table::adopt(core::upstream_id const& upstream,
                                  double log_odds,
                                  core::time_point now)
{
    auto const found = upstreams_.find(upstream);
    if (found == upstreams_.end() || log_odds <= settings_.avoid_threshold)
        return;
    auto& state = found->second;
    bool const is_avoided =
        state.estimate.log_odds(now) > settings_.avoid_threshold;
    state.estimate.adopt(log_odds, now);
    // The neighbours of this instance already send the trial requests.
    if (is_avoided)
        return;
    state.next_trial = now + settings_.trial_interval + trial_stagger(upstream);
    state.coverage.record(true, now);
}

std::optional<double>
health_estimate_table::avoided_log_odds(core::upstream_id const& upstream,
                                        core::time_point now) const
{
    auto const found = upstreams_.find(upstream);
    if (found == upstreams_.end())
        return std::nullopt;
    auto const log_odds = found->second.estimate.log_odds(now);
    if (log_odds <= settings_.avoid_threshold)
        return std::nullopt;
    return log_odds;
}

std::vector<standing_decision>
health_estimate_table::decide(core::time_point now, std::size_t withheld)
{
    // At most max_avoided() upstreams are avoided, those with the highest
    // log-odds first.
    std::vector<std::pair<double, core::upstream_id const*>> ranked;
    ranked.reserve(upstreams_.size());
    for (auto& [id, state] : upstreams_)
        ranked.emplace_back(state.estimate.log_odds(now), &id);
    std::sort(ranked.begin(),
              ranked.end(),
              [](auto const& left, auto const& right)
              {
                  return left.first > right.first;
              });
    std::vector<standing_decision> decisions;
    decisions.reserve(ranked.size());
    avoided_count_ = 0;
    has_crossing_ = false;
    auto const limit = max_avoided() - std::min(max_avoided(), withheld);
    for (auto const& [log_odds, id] : ranked)
    {
        auto& state = upstreams_.at(*id);
        bool const avoid =
            log_odds > settings_.avoid_threshold && avoided_count_ < limit;
        avoided_count_ += avoid ? 1 : 0;
        bool const trial = avoid && now >= state.next_trial;
        decisions.push_back(
            {*id,
             avoid ? upstream_standing::avoided : upstream_standing::normal,
             log_odds,
             1,
             trial,
             avoid && log_odds > settings_.last_resort_threshold,
             state.next_trial,
             avoid ? state.coverage.due_at(coverage_turn(*id))
                   : core::time_point::max()});
    }
    return decisions;
}

int health_estimate_table::thresholds_exceeded(upstream_state const& state,
                                               core::time_point now) const
{
    auto const log_odds = state.estimate.log_odds(now);
    return (log_odds > settings_.avoid_threshold ? 1 : 0) +
           (log_odds > settings_.last_resort_threshold ? 1 : 0);
}

core::duration
health_estimate_table::trial_stagger(core::upstream_id const& upstream) const
{
    if (settings_.trial_turns == 0)
        return settings_.trial_stagger * static_cast<int>(observers_.rank);
    auto const turn = (core::stable_hash(upstream.value()) + observers_.rank) %
                      settings_.trial_turns;
    return settings_.trial_stagger * static_cast<int>(turn);
}

void health_estimate_table::add(core::upstream_id const& upstream,
                                upstream_state& state,
                                double weight,
                                core::time_point now)
{
    auto const exceeded_before = thresholds_exceeded(state, now);
    bool const was_healthy = exceeded_before == 0;
    state.estimate.add(weight, now);
    has_crossing_ =
        has_crossing_ || thresholds_exceeded(state, now) != exceeded_before;
    auto delay = core::duration::zero();
    if (weight > 0)
        delay = was_healthy ? settings_.first_trial_delay
                            : settings_.trial_interval;
    state.next_trial = now + delay + trial_stagger(upstream);
    state.coverage.record(weight > 0, now);
}

std::size_t
health_estimate_table::coverage_turn(core::upstream_id const& upstream) const
{
    return (core::stable_hash(upstream.value()) + observers_.rank) %
           std::max<std::size_t>(observers_.size, 1);
}

std::size_t health_estimate_table::max_avoided() const
{
    auto const protected_count = static_cast<std::size_t>(std::ceil(
        protected_fraction_ * static_cast<double>(upstreams_.size())));
    return upstreams_.size() - std::min(protected_count, upstreams_.size());
}

} // namespace kumquatloom::health
