#ifndef KUMQUATLOOM_ENTRY_RETRY_JITTER_HPP
#define KUMQUATLOOM_ENTRY_RETRY_JITTER_HPP

#include <kumquatloom/core/clock.hpp>

#include <chrono>
#include <random>

namespace kumquatloom::entry
{

/// A random retry delay between half and one and a half of the mean. Keeps
/// callers that were refused together from returning together.
template <typename Random>
core::duration jittered(core::duration mean, Random& random)
{
    constexpr double min_factor = 0.5;
    constexpr double max_factor = 1.5;
    std::uniform_real_distribution<double> factor(min_factor, max_factor);
    return std::chrono::duration_cast<core::duration>(mean * factor(random));
}

} // namespace kumquatloom::entry

#endif
