#include <kumquatloom/health/sickness_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatloom::health
{

sickness_estimate::sickness_estimate(sickness_settings const& settings,
                                     core::time_point now)
    : settings_(&settings)
    , added_(now)
{
}

void sickness_estimate::add(double weight, core::time_point now)
{
    auto const next = std::clamp(
        log_odds(now) + weight, settings_->floor, settings_->ceiling);
    excess_ = next - settings_->prior;
    added_ = now;
}

void sickness_estimate::adopt(double others, core::time_point now)
{
    auto const own = log_odds(now);
    if (others > own)
        add(others - own, now);
}

double sickness_estimate::log_odds(core::time_point now) const
{
    std::chrono::duration<double> const age = now - added_;
    std::chrono::duration<double> const fade = settings_->fade;
    return settings_->prior + excess_ * std::exp(-age / fade);
}

} // namespace kumquatloom::health
