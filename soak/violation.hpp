#ifndef KUMQUATLOOM_SOAK_VIOLATION_HPP
#define KUMQUATLOOM_SOAK_VIOLATION_HPP

#include <kumquatloom/core/clock.hpp>

#include <string>

namespace kumquatloom::soak
{

/// A promise that was not kept.
struct violation
{
    /// Which promise.
    std::string promise;
    /// The request, instance or upstream, and what was seen.
    std::string detail;
    /// When it was seen.
    core::time_point at;
};

} // namespace kumquatloom::soak

#endif
