#include <kumquatloom/limits/retry_preference.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatloom::limits
{

namespace
{

constexpr std::chrono::seconds window{1};
/// Share of refused attempts from which the budget is too small for all. With
/// a budget of 17 in 100, a smaller share leaves enough for every priority.
constexpr double min_refused_share = 0.15;
/// Most credit of a priority, in retries.
constexpr double max_credit = 1;

} // namespace

retry_preference::retry_preference(unsigned percent_of_requests)
    : share_of_requests_(percent_of_requests / 100.0)
    , requests_(window)
    , attempts_(window)
    , refused_(window)
    , needed_{decayed_sum(window), decayed_sum(window), decayed_sum(window)}
{
    credit_.fill(max_credit);
}

void retry_preference::record_request(core::time_point now)
{
    requests_.add(1, now);
    double const budget = requests_.value(now) * share_of_requests_;
    double urgent = 0;
    for (std::size_t level = 0; level < levels; ++level)
    {
        double const left =
            budget <= 0 ? 1 : std::clamp(1 - urgent / budget, 0.0, 1.0);
        credit_[level] =
            std::min(max_credit, credit_[level] + share_of_requests_ * left);
        urgent += needed_[level].value(now);
    }
}

void retry_preference::record_attempt(bool refused, core::time_point now)
{
    attempts_.add(1, now);
    if (refused)
        refused_.add(1, now);
}

bool retry_preference::permits(priority value, core::time_point now)
{
    auto const level = static_cast<std::size_t>(value);
    needed_[level].add(1, now);
    bool const is_scarce = refused_share(now) >= min_refused_share;
    double urgent = 0;
    for (std::size_t i = 0; i < level; ++i)
        urgent += needed_[i].value(now);
    // Without any need of more urgent requests there is nothing to keep.
    constexpr double negligible = 0.1;
    return !is_scarce || urgent < negligible || credit_[level] >= 1;
}

void retry_preference::record_retry(priority value)
{
    auto& credit = credit_[static_cast<std::size_t>(value)];
    credit = std::max(credit - 1, 0.0);
}

double retry_preference::refused_share(core::time_point now) const
{
    // A single refused attempt of an idle instance is no sign of scarcity.
    constexpr double min_attempts = 2;
    double const attempts = attempts_.value(now);
    return attempts < min_attempts ? 0 : refused_.value(now) / attempts;
}

} // namespace kumquatloom::limits
