#ifndef KUMQUATLOOM_LIMITS_TOKEN_ACCOUNT_HPP
#define KUMQUATLOOM_LIMITS_TOKEN_ACCOUNT_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::limits
{

/// Parts of one token. Sums of parts fit 64 bits for 29 years at 10 million
/// tokens a second.
inline constexpr std::int64_t parts_per_token = 1000;

/// A rate in millionths of a token a second. A limit of 1/s that is split
/// over 7,000 instances is still a whole number.
using microtoken_rate = std::int64_t;

/// The rate of one token a second.
inline constexpr microtoken_rate micro_rate_of_one = 1000000;

/// Parts of a token that a rate earns in a time, rounded down; zero for a
/// negative time.
std::int64_t earned_parts(microtoken_rate rate, core::duration time);

/// What was spent of a growing credit, shared by threads without a lock. At
/// most `burst` parts of unused credit are kept.
class allowance
{
public:
    /// Starts with `unused` parts of a credit of zero left to spend.
    explicit allowance(std::int64_t unused = 0)
        : spent_(-unused)
    {
    }

    /// Spends `cost` if that much of `earned`, the credit so far, is unspent.
    bool take(std::int64_t earned, std::int64_t burst, std::int64_t cost)
    {
        auto spent = spent_.load(std::memory_order_relaxed);
        while (true)
        {
            // Credit beyond the burst is lost.
            auto const kept = spent < earned - burst ? earned - burst : spent;
            if (earned - kept < cost)
                return false;
            if (spent_.compare_exchange_weak(
                    spent, kept + cost, std::memory_order_relaxed))
                return true;
        }
    }

    /// Whether take() would succeed, as far as other threads let it.
    bool
    covers(std::int64_t earned, std::int64_t burst, std::int64_t cost) const
    {
        auto const spent = spent_.load(std::memory_order_relaxed);
        auto const kept = spent < earned - burst ? earned - burst : spent;
        return earned - kept >= cost;
    }

private:
    /// Parts spent or lost so far.
    std::atomic<std::int64_t> spent_;
};

} // namespace kumquatloom::limits

#endif
