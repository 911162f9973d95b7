#ifndef KUMQUATLOOM_LIMITS_RETRY_BUDGET_HPP
#define KUMQUATLOOM_LIMITS_RETRY_BUDGET_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/token_account.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::limits
{

struct retry_budget_settings
{
    /// Retries allowed for every 100 requests.
    unsigned percent_of_requests = 10;
    /// Retries allowed each second independent of the number of requests.
    unsigned min_retries_per_s = 3;
    /// Most unused retries that are kept. With an error rate below 10%, a run
    /// of errors of this length is still retried.
    unsigned burst = 10;
};

/// Limits the retries and hedges of an instance, so that failing upstreams do
/// not cause a retry storm. Over any time t with n requests, at most
/// burst + n * percent_of_requests / 100 + min_retries_per_s * t retries and
/// hedges are made. Thread-safe.
class retry_budget
{
public:
    /// Starts with a full burst.
    retry_budget(retry_budget_settings settings, core::time_point now);

    /// Counts a request. Retries and hedges must not be counted.
    void record_request()
    {
        requests_.fetch_add(1, std::memory_order_relaxed);
    }

    /// Spends one retry if the budget allows it.
    bool try_take(core::time_point now);

    /// Returns a retry that was taken and not made.
    void give_back()
    {
        spent_.refund(millitokens_per_token);
    }

    /// Whether the budget allows a retry; spends nothing.
    bool allows_retry(core::time_point now) const;

private:
    /// Credit accrued so far, in thousandths of a retry.
    std::int64_t accrued(core::time_point now) const;

    retry_budget_settings settings_;
    /// Start of the credit's accrual.
    core::time_point start_;
    /// Requests so far.
    std::atomic<std::int64_t> requests_{0};
    token_account spent_;
};

} // namespace kumquatloom::limits

#endif
