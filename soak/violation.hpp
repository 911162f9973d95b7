#ifndef KUMQUATLOOM_SOAK_VIOLATION_HPP
#define KUMQUATLOOM_SOAK_VIOLATION_HPP

#include <kumquatloom/core/clock.hpp>

#include <string>

namespace kumquatloom::soak
{

/// A violated guarantee.
struct violation
{
    /// Code of the guarantee, such as LOST.
    std::string guarantee;
    /// The request, instance or upstream, and the observation.
    std::string detail;
    /// When the violation was detected.
    core::time_point at;
};

} // namespace kumquatloom::soak

#endif
