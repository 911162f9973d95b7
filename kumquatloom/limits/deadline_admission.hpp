#ifndef KUMQUATLOOM_LIMITS_DEADLINE_ADMISSION_HPP
#define KUMQUATLOOM_LIMITS_DEADLINE_ADMISSION_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::limits
{

/// Settings of the admission by deadline.
struct deadline_admission_settings
{
    /// Without a sample for this time the estimate is not believed, so that a
    /// service that was slow gets requests to show that it no longer is.
    std::chrono::milliseconds estimate_life{1000};
    /// Part of the mean service time, in hundredths, that a request needs at
    /// least. Where service times vary a lot, many requests take far less than
    /// the mean.
    unsigned service_time_percent = 100;
};

/// Refuses requests of one service that would not be answered in time. Used by
/// several threads at once.
class deadline_admission
{
public:
    /// Starts without an estimate.
    explicit deadline_admission(deadline_admission_settings settings);

    /// Learns the time that an upstream took for one request.
    void record(core::duration service_time, core::time_point now);

    /// Whether a request that has `left` until its deadline is worth queueing
    /// behind `queued` others for `slots` places.
    bool admits(core::duration left,
                std::size_t queued,
                std::size_t slots,
                core::time_point now) const;

    /// Time below which a request cannot be expected to be served.
    core::duration assumed_service_time() const;

    /// Estimated wait and service time.
    core::duration estimate(std::size_t queued, std::size_t slots) const;

private:
    /// Settings.
    deadline_admission_settings settings_;
    /// Smoothed service time in nanoseconds, 0 before the first sample.
    std::atomic<std::int64_t> service_ns_{0};
    /// When the last sample arrived, in nanoseconds of the clock.
    std::atomic<std::int64_t> sampled_ns_{0};
};

} // namespace kumquatloom::limits

#endif
