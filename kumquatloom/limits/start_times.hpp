#ifndef KUMQUATLOOM_LIMITS_START_TIMES_HPP
#define KUMQUATLOOM_LIMITS_START_TIMES_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/work_estimate.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

/// Latest times at which a request must start at an upstream to be of a certain
/// use to its caller.
struct start_times
{
    /// Latest start that very likely meets the target.
    core::time_point on_time = core::time_point::max();
    /// Latest start that very likely meets the time limit.
    core::time_point in_limit = core::time_point::max();
    /// Latest start that has a fair chance to meet the time limit.
    core::time_point last = core::time_point::max();
};

/// The start times of a request with a target, which is the end of the clock
/// if there is none, and a time limit.
inline start_times start_times_of(core::time_point target,
                                  core::time_point limit,
                                  work_times const& work)
{
    auto const before = [](core::time_point end, core::duration time)
    {
        return end == core::time_point::max() ? end : end - time;
    };
    return {before(std::min(target, limit), work.likely),
            before(limit, work.likely),
            before(limit, work.least)};
}

} // namespace kumquatloom::limits

#endif
