#ifndef KUMQUATLOOM_REQUEST_TAKE_RETRY_HPP
#define KUMQUATLOOM_REQUEST_TAKE_RETRY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/limits/retry_preference.hpp>
#include <kumquatloom/request/retry_claim.hpp>
#include <kumquatloom/request/retry_denied_reason.hpp>

#include <optional>

namespace kumquatloom::request
{

/// Spends one retry of the budget unless that has already been done, or returns
/// why it is denied.
inline std::optional<retry_denied_reason>
take_retry(limits::retry_budget& budget,
           retry_claim const& claim,
           core::time_point now)
{
    if (claim.is_paid)
        return std::nullopt;
    if (claim.preference != nullptr &&
        !claim.preference->permits(claim.level, now))
        return retry_denied_reason::kept_for_urgent;
    if (!budget.try_take(now))
        return retry_denied_reason::budget_spent;
    if (claim.preference != nullptr)
        claim.preference->record_retry(claim.level);
    return std::nullopt;
}

} // namespace kumquatloom::request

#endif
