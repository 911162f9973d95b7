#ifndef KUMQUATLOOM_CORE_CLOCK_HPP
#define KUMQUATLOOM_CORE_CLOCK_HPP

#include <chrono>

namespace kumquatloom::core
{

/// Monotonic clock for all timing decisions. Wall-clock times of different
/// instances are never compared.
using clock = std::chrono::steady_clock;
/// A point on the monotonic clock.
using time_point = clock::time_point;
/// A duration in the resolution of the clock.
using duration = clock::duration;

} // namespace kumquatloom::core

#endif
