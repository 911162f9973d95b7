#include <kumquatloom/health/health_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatloom::health
{

health_estimate::health_estimate(health_estimate_settings const& settings,
                                 core::time_point now)
    : settings_(&settings)
    , added_(now)
{
}

void health_estimate::add(double weight, core::time_point now)
{
    auto const next = std::clamp(
        log_odds(now) + weight, settings_->floor, settings_->ceiling);
    excess_ = next - settings_->prior;
    added_ = now;
}

void health_estimate::adopt(double others, core::time_point now)
{
    auto const own = log_odds(now);
    if (others > own)
        add(others - own, now);
}

double health_estimate::log_odds(core::time_point now) const
{
    std::chrono::duration<double> const age = now - added_;
    std::chrono::duration<double> const fade = settings_->fade;
    return settings_->prior + excess_ * std::exp(-age / fade);
}

} // namespace kumquatloom::health
