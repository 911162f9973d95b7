#ifndef KUMQUATLOOM_LIMITS_LATENCY_QUANTILE_HPP
#define KUMQUATLOOM_LIMITS_LATENCY_QUANTILE_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>

namespace kumquatloom::limits
{

struct latency_quantile_settings
{
    /// The quantile to estimate, in percent.
    unsigned percent = 95;
    /// Estimate before the first sample.
    std::chrono::milliseconds initial_estimate{100};
};

/// Estimates a quantile of the recent latencies by stochastic approximation.
/// Each sample above the estimate raises it and each one below lowers it; the
/// step sizes balance at the quantile. Thread-safe, but concurrent samples may
/// be lost.
class latency_quantile
{
public:
    explicit latency_quantile(latency_quantile_settings settings);

    /// Adds a sample.
    void record(core::duration latency);

    core::duration value() const
    {
        return core::duration(estimate_ns_.load(std::memory_order_relaxed));
    }

private:
    latency_quantile_settings settings_;
    std::atomic<std::int64_t> estimate_ns_;
};

} // namespace kumquatloom::limits

#endif
