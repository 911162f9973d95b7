#ifndef KUMQUATLOOM_LIMITS_DECAYING_RATE_HPP
#define KUMQUATLOOM_LIMITS_DECAYING_RATE_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <cmath>

namespace kumquatloom::limits
{

/// Exponentially weighted estimate of a rate of events.
class decaying_rate
{
public:
    /// Counts `events` at `now`.
    void add(double events, core::time_point now)
    {
        per_s_ = value(now) + events / seconds(time_constant);
        updated_ = now;
    }

    /// Events per second.
    double value(core::time_point now) const
    {
        if (per_s_ == 0 || now <= updated_)
            return per_s_;
        return per_s_ *
               std::exp(-seconds(now - updated_) / seconds(time_constant));
    }

private:
    /// Two intervals between heartbeats, so that one lost datagram does not
    /// look like the end of the load.
    static constexpr std::chrono::milliseconds time_constant{500};

    static double seconds(core::duration time)
    {
        return std::chrono::duration<double>(time).count();
    }

    double per_s_ = 0;
    core::time_point updated_;
};

} // namespace kumquatloom::limits

#endif
