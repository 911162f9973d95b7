#ifndef KUMQUATLOOM_LIMITS_LATENCY_QUANTILE_HPP
#define KUMQUATLOOM_LIMITS_LATENCY_QUANTILE_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace kumquatloom::limits
{

/// Settings of a latency quantile.
struct latency_quantile_settings
{
    /// The quantile in hundredths.
    unsigned percent = 95;
    /// Estimate before the first samples.
    std::chrono::milliseconds initial_estimate{100};
};

/// Estimates a quantile of recent latencies by stochastic approximation: each
/// sample above the estimate raises it and each one below lowers it, in the
/// ratio that balances at the quantile. Used by several threads at once;
/// racing samples may be lost.
class latency_quantile
{
public:
    /// Starts at the first estimate.
    explicit latency_quantile(latency_quantile_settings settings);

    /// Learns one latency.
    void record(core::duration latency);

    /// The estimate.
    core::duration value() const
    {
        return core::duration(estimate_ns_.load(std::memory_order_relaxed));
    }

private:
    /// Settings.
    latency_quantile_settings settings_;
    /// The estimate in nanoseconds.
    std::atomic<std::int64_t> estimate_ns_;
};

} // namespace kumquatloom::limits

#endif
