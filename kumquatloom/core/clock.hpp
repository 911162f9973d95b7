#ifndef KUMQUATLOOM_CORE_CLOCK_HPP
#define KUMQUATLOOM_CORE_CLOCK_HPP

#include <chrono>

namespace kumquatloom::core
{

/// Monotonic clock of all decisions. Wall-clock time is never compared
/// between instances.
using clock = std::chrono::steady_clock;
/// A point on the monotonic clock.
using time_point = clock::time_point;
/// A length of time, in the clock's own resolution.
using duration = clock::duration;

} // namespace kumquatloom::core

#endif
