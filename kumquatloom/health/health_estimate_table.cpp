#include <kumquatloom/health/health_estimate_table.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatloom::health
{

namespace
{

/// Weight of one sample of the usual latency.
constexpr double latency_sample_weight = 0.05;

} // namespace

health_estimate_table::health_estimate_table(
    health_estimate_settings const& settings, double floor)
    : settings_(settings)
    , floor_(floor)
{
}

void health_estimate_table::track(
    std::vector<core::upstream_id> const& upstreams, core::time_point now)
{
    std::unordered_map<core::upstream_id, watched> next;
    for (auto const& id : upstreams)
    {
        auto const known = upstreams_.find(id);
        next.emplace(id,
                     known != upstreams_.end()
                         ? known->second
                         : watched{health_estimate(settings_, now), now});
    }
    upstreams_ = std::move(next);
}

double health_estimate_table::record(attempt_report const& report,
                                     core::time_point now)
{
    std::chrono::duration<double> const latency = report.latency;
    bool const success = report.result == attempt_result::success;
    bool const is_late =
        success && usual_latency_ > 0 &&
        latency.count() > settings_.late_factor * usual_latency_;
    if (success)
        usual_latency_ =
            usual_latency_ == 0
                ? latency.count()
                : usual_latency_ + latency_sample_weight *
                                       (latency.count() - usual_latency_);
    auto const weight = settings_.weight(report.result, is_late);
    merge(report.upstream, weight, now);
    return weight;
}

void health_estimate_table::merge(core::upstream_id const& upstream,
                                  double weight,
                                  core::time_point now)
{
    auto const found = upstreams_.find(upstream);
    if (found != upstreams_.end() && weight != 0)
        add(found->second, weight, now);
}

void health_estimate_table::adopt(core::upstream_id const& upstream,
                                  double log_odds,
                                  core::time_point now)
{
    auto const found = upstreams_.find(upstream);
    if (found == upstreams_.end() || log_odds <= settings_.avoid_above)
        return;
    auto& item = found->second;
    bool const is_known = item.estimate.log_odds(now) > settings_.avoid_above;
    item.estimate.adopt(log_odds, now);
    // Its neighbours go on with the trials.
    if (!is_known)
        item.next_trial =
            now + settings_.trial_interval + settings_.trial_turn * place_;
}

std::optional<double>
health_estimate_table::avoided_log_odds(core::upstream_id const& upstream,
                                        core::time_point now) const
{
    auto const found = upstreams_.find(upstream);
    if (found == upstreams_.end())
        return std::nullopt;
    auto const log_odds = found->second.estimate.log_odds(now);
    if (log_odds <= settings_.avoid_above)
        return std::nullopt;
    return log_odds;
}

std::vector<standing_decision>
health_estimate_table::decide(core::time_point now)
{
    // The likeliest sick ones come first and use up the budget.
    std::vector<std::pair<double, core::upstream_id const*>> ranked;
    ranked.reserve(upstreams_.size());
    for (auto& [id, item] : upstreams_)
        ranked.emplace_back(item.estimate.log_odds(now), &id);
    std::sort(ranked.begin(),
              ranked.end(),
              [](auto const& left, auto const& right)
              {
                  return left.first > right.first;
              });
    std::vector<standing_decision> decisions;
    decisions.reserve(ranked.size());
    avoided_ = 0;
    for (auto const& [log_odds, id] : ranked)
    {
        auto& item = upstreams_.at(*id);
        bool const avoid =
            log_odds > settings_.avoid_above && avoided_ < budget();
        avoided_ += avoid ? 1 : 0;
        bool const trial = avoid && now >= item.next_trial;
        decisions.push_back(
            {*id,
             avoid ? upstream_standing::avoided : upstream_standing::normal,
             log_odds,
             1,
             trial,
             avoid && log_odds > settings_.hopeless_above});
    }
    return decisions;
}

void health_estimate_table::add(watched& item,
                                double weight,
                                core::time_point now)
{
    bool const was_well = item.estimate.log_odds(now) <= settings_.avoid_above;
    item.estimate.add(weight, now);
    auto wait = core::duration::zero();
    if (weight > 0)
        wait = was_well ? settings_.first_trial : settings_.trial_interval;
    item.next_trial = now + wait + settings_.trial_turn * place_;
}

std::size_t health_estimate_table::budget() const
{
    auto const kept = static_cast<std::size_t>(
        std::ceil(floor_ * static_cast<double>(upstreams_.size())));
    return upstreams_.size() - std::min(kept, upstreams_.size());
}

} // namespace kumquatloom::health
