#ifndef KUMQUATLOOM_LIMITS_QUOTA_LIMIT_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_LIMIT_HPP

#include <cstdint>

namespace kumquatloom::limits
{

/// The quota of an organisation over all instances together.
struct quota_limit
{
    /// Hash of the organisation's name; see quota_key().
    std::uint32_t organisation = 0;
    /// Requests per second.
    float rate_per_s = 0;
    /// Requests in addition to the rate.
    float burst = 0;
};

} // namespace kumquatloom::limits

#endif
