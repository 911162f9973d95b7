#ifndef KUMQUATLOOM_LIMITS_QUOTA_SETTINGS_HPP
#define KUMQUATLOOM_LIMITS_QUOTA_SETTINGS_HPP

#include <chrono>

namespace kumquatloom::limits
{

/// How far the requests of an organisation may exceed its quota. In any window
/// the whole fleet runs at most
/// (rate x window + burst) x (1 + overage) + tolerance requests.
struct quota_settings
{
    /// Length of the window.
    std::chrono::milliseconds window{5000};
    /// Fraction of the quota.
    double overage = 0.1;
    /// Number of requests.
    double tolerance = 20;
};

} // namespace kumquatloom::limits

#endif
