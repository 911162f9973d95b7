#ifndef KUMQUATLOOM_LIMITS_RETRY_BUDGET_HPP
#define KUMQUATLOOM_LIMITS_RETRY_BUDGET_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/token_account.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::limits
{

/// Settings of a retry budget.
struct retry_budget_settings
{
    /// Retries for every 100 requests.
    unsigned percent_of_requests = 10;
    /// Retries that are added each second without any request.
    unsigned min_retries_per_s = 3;
    /// Unused retries that are kept. With an error rate below 10 in 100 a run
    /// of errors of this length is still retried.
    unsigned burst = 10;
};

/// Limits the retries and hedges of an instance, so that sick upstreams do not
/// multiply the load: in any time t with n requests at most
/// burst + n * percent / 100 + min_retries_per_s * t are made. Used by several
/// threads at once.
class retry_budget
{
public:
    /// Starts with a full burst.
    retry_budget(retry_budget_settings settings, core::time_point now);

    /// Counts a request, but not its further attempts.
    void record_request()
    {
        requests_.fetch_add(1, std::memory_order_relaxed);
    }

    /// Takes one retry if the budget has one.
    bool try_take(core::time_point now);

    /// Whether the budget has a retry.
    bool allows_retry(core::time_point now) const;

private:
    /// Parts of retries that were earned so far.
    std::int64_t earned(core::time_point now) const;

    /// Settings.
    retry_budget_settings settings_;
    /// When the credit was zero.
    core::time_point start_;
    /// Requests so far.
    std::atomic<std::int64_t> requests_{0};
    /// What was taken.
    allowance taken_;
};

} // namespace kumquatloom::limits

#endif
