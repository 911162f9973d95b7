#ifndef KUMQUATLOOM_LIMITS_WORK_ESTIMATES_HPP
#define KUMQUATLOOM_LIMITS_WORK_ESTIMATES_HPP

#include <kumquatloom/limits/work_estimate.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace kumquatloom::limits
{

/// The work estimates of the routes to one service. Not thread-safe.
class work_estimates
{
public:
    /// Adds a sample for a route.
    void
    record(std::string_view route, core::duration time, core::time_point now)
    {
        auto found = by_route_.find(route);
        if (found == by_route_.end())
        {
            if (by_route_.size() >= max_routes)
                erase_oldest();
            found =
                by_route_.emplace(std::string(route), work_estimate()).first;
        }
        found->second.record(time, now);
        all_.record(time, now);
    }

    /// Quantiles for a route; those of the service if the route has none yet.
    work_times times(std::string_view route, core::time_point now) const
    {
        auto const found = by_route_.find(route);
        if (found != by_route_.end())
            if (auto const known = found->second.times(now);
                known.likely != core::duration::zero())
                return known;
        return all_.times(now);
    }

    /// Quantiles over all routes.
    work_times times(core::time_point now) const
    {
        return all_.times(now);
    }

private:
    /// Bound on the routes, at 300 bytes each.
    static constexpr std::size_t max_routes = 64;

    void erase_oldest()
    {
        auto oldest = by_route_.begin();
        for (auto it = by_route_.begin(); it != by_route_.end(); ++it)
            if (it->second.last_sample() < oldest->second.last_sample())
                oldest = it;
        by_route_.erase(oldest);
    }

    std::map<std::string, work_estimate, std::less<>> by_route_;
    /// Samples of all routes.
    work_estimate all_;
};

} // namespace kumquatloom::limits

#endif
