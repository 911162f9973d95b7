#ifndef KUMQUATLOOM_LIMITS_DEADLINE_ADMISSION_HPP
#define KUMQUATLOOM_LIMITS_DEADLINE_ADMISSION_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::limits
{

struct deadline_admission_settings
{
    /// An estimate without a new sample for this time is ignored. Otherwise a
    /// service that was slow would get no requests, and thus no sample that
    /// shows its recovery.
    std::chrono::milliseconds estimate_max_age{1000};
    /// Percentage of the mean service time that is assumed for a new request.
    /// A value below 100 suits services whose times vary widely, where many
    /// requests take far less than the mean.
    unsigned service_time_percent = 100;
};

/// Deadline-based admission control for one service: refuses requests that
/// would probably miss their deadline. Thread-safe.
class deadline_admission
{
public:
    /// Starts without an estimate.
    explicit deadline_admission(deadline_admission_settings settings);

    /// Adds the time that an upstream took for one request to the estimate.
    void record(core::duration service_time, core::time_point now);

    /// Whether a request with `remaining` time until its deadline can be
    /// expected to meet it behind `queued` other requests for `slots` upstream
    /// slots.
    bool admits(core::duration remaining,
                std::size_t queued,
                std::size_t slots,
                core::time_point now) const;

    /// Service time that is assumed for a new request.
    core::duration assumed_service_time() const;

    /// Estimated sum of queueing and service time.
    core::duration estimate(std::size_t queued, std::size_t slots) const;

private:
    deadline_admission_settings settings_;
    /// Moving average of the service time; 0 before the first sample.
    std::atomic<std::int64_t> service_ns_{0};
    /// Time of the last sample, in nanoseconds since the clock's epoch.
    std::atomic<std::int64_t> last_sample_ns_{0};
};

} // namespace kumquatloom::limits

#endif
