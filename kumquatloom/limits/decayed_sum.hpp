#ifndef KUMQUATLOOM_LIMITS_DECAYED_SUM_HPP
#define KUMQUATLOOM_LIMITS_DECAYED_SUM_HPP

#include <kumquatloom/core/clock.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatloom::limits
{

/// Sum of recent amounts, each of which decays exponentially. At a constant
/// rate the sum is the rate times the lifetime. Not thread-safe.
class decayed_sum
{
public:
    /// `lifetime` is the time in which an amount decays to 1/e.
    explicit decayed_sum(core::duration lifetime)
        : lifetime_(lifetime)
    {
    }

    /// Adds an amount.
    void add(double amount, core::time_point now)
    {
        value_ = value(now) + amount;
        last_ = std::max(last_, now);
    }

    /// The sum of the amounts that have not decayed.
    double value(core::time_point now) const
    {
        if (now <= last_)
            return value_;
        return value_ * std::exp(-std::chrono::duration<double>(now - last_) /
                                 std::chrono::duration<double>(lifetime_));
    }

    /// Mean amount per second over the lifetime.
    double per_second(core::time_point now) const
    {
        return value(now) / std::chrono::duration<double>(lifetime_).count();
    }

private:
    core::duration lifetime_;
    double value_ = 0;
    core::time_point last_;
};

} // namespace kumquatloom::limits

#endif
