#ifndef KUMQUATLOOM_LIMITS_SLACK_RANKING_HPP
#define KUMQUATLOOM_LIMITS_SLACK_RANKING_HPP

#include <kumquatloom/core/clock.hpp>

#include <array>
#include <cstddef>

namespace kumquatloom::limits
{

/// Ranks the slack of a request among the recent ones of its priority. Most
/// requests have the same slack, so that those of a bucket are ranked evenly.
/// Not thread-safe.
class slack_ranking
{
public:
    /// Part of the recent requests that have less slack, in [0, 1). Adds the
    /// request.
    double rank(core::duration slack);

private:
    /// Two buckets for each doubling, from 1 ms to 65 s; the first one is for
    /// requests that are late already.
    static constexpr std::size_t buckets = 33;

    std::array<float, buckets> weights_{};
    /// Position within a bucket of the last request.
    double position_ = 0;
};

} // namespace kumquatloom::limits

#endif
