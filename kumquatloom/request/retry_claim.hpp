#ifndef KUMQUATLOOM_REQUEST_RETRY_CLAIM_HPP
#define KUMQUATLOOM_REQUEST_RETRY_CLAIM_HPP

#include <kumquatloom/limits/priority.hpp>

namespace kumquatloom::limits
{
class retry_preference;
}

namespace kumquatloom::request
{

/// What a request may take of the retry budget.
struct retry_claim
{
    /// Keeps the budget for more urgent requests; null if all are equal.
    limits::retry_preference* preference = nullptr;
    /// Priority of the request.
    limits::priority level = limits::priority::normal;
    /// Whether the retry has already been taken from the budget.
    bool is_paid = false;
};

} // namespace kumquatloom::request

#endif
