#include <kumquatloom/limits/retry_budget.hpp>

namespace kumquatloom::limits
{

namespace
{

/// One hundredth of a token, the worth of one percent of a request.
constexpr std::int64_t parts_per_percent = parts_per_token / 100;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings, core::time_point now)
    : settings_(settings)
    , start_(now)
    , taken_(settings.burst * parts_per_token)
{
}

bool retry_budget::try_take(core::time_point now)
{
    return taken_.take(
        earned(now), settings_.burst * parts_per_token, parts_per_token);
}

bool retry_budget::allows_retry(core::time_point now) const
{
    return taken_.covers(
        earned(now), settings_.burst * parts_per_token, parts_per_token);
}

std::int64_t retry_budget::earned(core::time_point now) const
{
    auto const by_time = earned_parts(
        settings_.min_retries_per_s * micro_rate_of_one, now - start_);
    auto const by_requests = requests_.load(std::memory_order_relaxed) *
                             settings_.percent_of_requests * parts_per_percent;
    return by_time + by_requests;
}

} // namespace kumquatloom::limits
