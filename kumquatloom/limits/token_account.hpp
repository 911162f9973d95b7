#ifndef KUMQUATLOOM_LIMITS_TOKEN_ACCOUNT_HPP
#define KUMQUATLOOM_LIMITS_TOKEN_ACCOUNT_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::limits
{

/// Credit is counted in thousandths of a token. At 10 million tokens per
/// second, the sum fits 64 bits for 29 years.
inline constexpr std::int64_t millitokens_per_token = 1000;

/// A rate in millionths of a token per second, so that a limit of 1/s split
/// over 7,000 instances does not round to zero.
using microtoken_rate = std::int64_t;

/// A rate of one token per second is 1,000,000 microtokens per second.
inline constexpr microtoken_rate microtokens_per_token = 1000000;

/// The credit that accrues at a rate over a time, rounded down. Zero for a
/// negative time.
std::int64_t accrued_millitokens(microtoken_rate rate, core::duration time);

/// Lock-free count of the tokens spent from a credit that only grows. The
/// caller computes the credit accrued so far from the time, so that no thread
/// has to refill anything. Unspent credit beyond the burst size is lost.
class token_account
{
public:
    /// Starts with `unused` millitokens to spend before any credit accrues.
    explicit token_account(std::int64_t unused = 0)
        : spent_(-unused)
    {
    }

    /// Spends `cost` if at least that much of the credit `accrued` so far is
    /// unspent.
    bool try_spend(std::int64_t accrued, std::int64_t burst, std::int64_t cost)
    {
        auto spent = spent_.load(std::memory_order_relaxed);
        while (true)
        {
            // Credit beyond the burst is lost.
            auto const used = spent < accrued - burst ? accrued - burst : spent;
            if (accrued - used < cost)
                return false;
            if (spent_.compare_exchange_weak(
                    spent, used + cost, std::memory_order_relaxed))
                return true;
        }
    }

    /// Returns `cost` that was spent. Credit beyond the burst is lost.
    void refund(std::int64_t cost)
    {
        spent_.fetch_sub(cost, std::memory_order_relaxed);
    }

    /// Whether try_spend() would succeed, unless another thread spends the
    /// credit first.
    bool
    can_spend(std::int64_t accrued, std::int64_t burst, std::int64_t cost) const
    {
        auto const spent = spent_.load(std::memory_order_relaxed);
        auto const used = spent < accrued - burst ? accrued - burst : spent;
        return accrued - used >= cost;
    }

private:
    /// Credit spent, or lost beyond the burst, so far.
    std::atomic<std::int64_t> spent_;
};

} // namespace kumquatloom::limits

#endif
