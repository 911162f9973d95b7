#ifndef KUMQUATLOOM_LIMITS_WORK_ESTIMATE_HPP
#define KUMQUATLOOM_LIMITS_WORK_ESTIMATE_HPP

#include <kumquatloom/core/clock.hpp>

#include <array>
#include <cstddef>

namespace kumquatloom::limits
{

/// Times that an upstream takes for a request of one route.
struct work_times
{
    /// Nine of ten requests take longer than this.
    core::duration least{};
    /// Half of the requests take longer than this.
    core::duration typical{};
    /// One of ten requests takes longer than this.
    core::duration likely{};
};

/// Distribution of the recent times that upstreams took for requests of one
/// route: a histogram with a logarithmic scale whose samples decay. Not
/// thread-safe.
class work_estimate
{
public:
    /// Adds a sample. A request that was given up counts with the time that
    /// it had run, because leaving it out would bias the distribution towards
    /// the fast requests.
    void record(core::duration time, core::time_point now);

    /// Quantiles of the distribution. All are zero before the first sample and
    /// once the last one is too old: a service that was slow and therefore
    /// gets no requests must be tried again.
    work_times times(core::time_point now) const;

    /// When the last sample was added.
    core::time_point last_sample() const
    {
        return last_sample_;
    }

private:
    /// Four buckets for each doubling, from 1 ms to 65 s.
    static constexpr std::size_t buckets = 64;

    core::duration quantile(double fraction) const;

    std::array<float, buckets> weights_{};
    float total_ = 0;
    core::time_point last_sample_;
};

} // namespace kumquatloom::limits

#endif
