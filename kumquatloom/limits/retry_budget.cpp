#include <kumquatloom/limits/retry_budget.hpp>

namespace kumquatloom::limits
{

namespace
{

/// Credit for one request at a budget of one percent.
constexpr std::int64_t millitokens_per_percent = millitokens_per_token / 100;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings, core::time_point now)
    : settings_(settings)
    , start_(now)
    , spent_(settings.burst * millitokens_per_token)
{
}

bool retry_budget::try_take(core::time_point now)
{
    return spent_.try_spend(accrued(now),
                            settings_.burst * millitokens_per_token,
                            millitokens_per_token);
}

bool retry_budget::allows_retry(core::time_point now) const
{
    return spent_.can_spend(accrued(now),
                            settings_.burst * millitokens_per_token,
                            millitokens_per_token);
}

std::int64_t retry_budget::accrued(core::time_point now) const
{
    auto const by_time = accrued_millitokens(
        settings_.min_retries_per_s * microtokens_per_token, now - start_);
    auto const by_requests = requests_.load(std::memory_order_relaxed) *
                             settings_.percent_of_requests *
                             millitokens_per_percent;
    return by_time + by_requests;
}

} // namespace kumquatloom::limits
