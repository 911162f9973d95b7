#include <kumquatloom/health/health_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatloom::health
{

health_estimate::health_estimate(health_estimate_settings const& settings,
                                 core::time_point now)
    : settings_(&settings)
    , last_added_(now)
{
}

void health_estimate::add(double weight, core::time_point now)
{
    auto const next = std::clamp(log_odds(now) + weight,
                                 settings_->min_log_odds,
                                 settings_->max_log_odds);
    offset_from_prior_ = next - settings_->prior;
    last_added_ = now;
}

void health_estimate::adopt(double observed_log_odds, core::time_point now)
{
    auto const own_log_odds = log_odds(now);
    if (observed_log_odds > own_log_odds)
        add(observed_log_odds - own_log_odds, now);
}

double health_estimate::log_odds(core::time_point now) const
{
    std::chrono::duration<double> const age = now - last_added_;
    std::chrono::duration<double> const decay_time = settings_->decay_time;
    return settings_->prior + offset_from_prior_ * std::exp(-age / decay_time);
}

} // namespace kumquatloom::health
