#ifndef KUMQUATLOOM_LIMITS_SURGE_ESTIMATE_HPP
#define KUMQUATLOOM_LIMITS_SURGE_ESTIMATE_HPP

#include <kumquatloom/core/clock.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatloom::limits
{

/// Estimates by which factor the load of the other sources has risen since
/// their reports. A rise that covers many organisations shows in the own load
/// before it is reported. Not thread-safe.
class surge_estimate
{
public:
    /// Counts own requests of any organisation.
    void add_own(double requests, core::time_point now)
    {
        add(own_, requests, own_reaction, now);
    }

    /// Counts requests that other sources report.
    void add_reported(double requests, core::time_point now)
    {
        add(reported_, requests, reported_reaction, now);
    }

    /// The factor, at least 1.
    double factor(core::time_point now) const
    {
        double const events =
            value(own_.recent_per_s, own_reaction, now - own_.updated) *
            seconds(own_reaction);
        // Few requests say little, so the rise is the least that explains them.
        double const certain = events - deviations * std::sqrt(events);
        double const usual =
            value(own_.usual_per_s, baseline, now - own_.updated) *
            seconds(own_reaction);
        if (certain <= usual || usual <= 0)
            return 1;
        double const known =
            value(reported_.recent_per_s,
                  reported_reaction,
                  now - reported_.updated) /
            std::max(
                value(reported_.usual_per_s, baseline, now - reported_.updated),
                1.0);
        return std::clamp(
            certain / usual / std::max(known, 1.0), 1.0, max_factor);
    }

private:
    struct rates
    {
        double recent_per_s = 0;
        double usual_per_s = 0;
        core::time_point updated;
    };

    /// Much shorter than the propagation time.
    static constexpr std::chrono::milliseconds own_reaction{150};
    /// As the rates that are reported; see decaying_rate.
    static constexpr std::chrono::milliseconds reported_reaction{500};
    static constexpr std::chrono::milliseconds baseline{5000};
    static constexpr double deviations = 2;
    static constexpr double max_factor = 100;

    static double seconds(core::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    static double
    value(double per_s, core::duration constant, core::duration age)
    {
        return per_s *
               std::exp(-std::max(seconds(age), 0.0) / seconds(constant));
    }

    static void add(rates& target,
                    double requests,
                    core::duration reaction,
                    core::time_point now)
    {
        auto const age = now - target.updated;
        target.recent_per_s = value(target.recent_per_s, reaction, age) +
                              requests / seconds(reaction);
        target.usual_per_s = value(target.usual_per_s, baseline, age) +
                             requests / seconds(baseline);
        target.updated = std::max(now, target.updated);
    }

    rates own_;
    rates reported_;
};

} // namespace kumquatloom::limits

#endif
