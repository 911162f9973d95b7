#ifndef KUMQUATLOOM_LIMITS_QUOTA_DECISION_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_DECISION_HPP

#include <kumquatloom/core/clock.hpp>

namespace kumquatloom::limits
{

/// Whether a request is within the quota of its organisation.
struct quota_decision
{
    bool admitted = true;
    /// If it was refused, the time after which a token is expected.
    core::duration retry_after{0};
};

} // namespace kumquatloom::limits

#endif
