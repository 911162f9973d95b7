#include <kumquatloom/membership/lateness_filter.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

core::duration lateness_filter::lateness(std::chrono::milliseconds uptime,
                                         core::time_point now)
{
    core::duration const difference = now.time_since_epoch() - uptime;
    if (!current_)
    {
        current_ = difference;
        window_start_ = now;
        return core::duration::zero();
    }
    if (now - window_start_ >= window)
    {
        previous_ = current_;
        // Messages are also compared with the fastest one of the previous
        // window, in case the first one of this window is late.
        current_ = std::max(difference, *previous_);
        window_start_ = now;
    }
    core::duration const fastest =
        std::min(*current_, previous_.value_or(*current_));
    current_ = std::min(*current_, difference);
    return std::max(difference - fastest, core::duration::zero());
}

} // namespace kumquatloom::membership
