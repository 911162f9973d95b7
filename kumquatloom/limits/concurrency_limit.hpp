#ifndef KUMQUATLOOM_LIMITS_CONCURRENCY_LIMIT_HPP
#define KUMQUATLOOM_LIMITS_CONCURRENCY_LIMIT_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::limits
{

struct concurrency_limit_settings
{
    /// The limit falls when the recent latency exceeds this percentage of the
    /// baseline latency.
    unsigned tolerated_latency_percent = 150;
    /// Latency that exceeds the baseline by less than this never lowers the
    /// limit, since scheduling and network jitter cause it as well as a queue.
    std::chrono::microseconds tolerated_jitter{2000};
    /// A request that was refused or timed out lowers the limit to this
    /// percentage of its value.
    unsigned backoff_percent = 90;
};

/// How a request to an upstream ended, as far as it affects the limit.
enum class concurrency_sample
{
    /// The upstream responded; the latency is a sample.
    answered,
    /// The request was refused or timed out.
    overload,
    /// The request says nothing about the load, for example because it was
    /// cancelled.
    ignored
};

/// Adaptive limit on the requests in flight to one upstream. The limit follows
/// the ratio of the baseline latency to the recent latency and stays between
/// one and the upstream's number of slots. Thread-safe: concurrent updates may
/// lose a latency sample, but the number of requests in flight is exact.
class concurrency_limit
{
public:
    /// Starts at the upstream's number of slots.
    concurrency_limit(concurrency_limit_settings settings, unsigned slots);

    /// Admits a request if the limit allows it. After success release() must
    /// be called once.
    bool try_acquire();

    /// Ends a request and adjusts the limit to how it ended.
    void release(concurrency_sample sample, core::duration latency);

    /// Most requests that may be in flight.
    unsigned limit() const;

    unsigned in_flight() const
    {
        return in_flight_.load(std::memory_order_relaxed);
    }

private:
    /// Updates the latency estimates and the limit from one response.
    void update(core::duration latency, unsigned in_flight);
    /// Stores a limit, in thousandths of a request, clamped to the bounds.
    void store_limit(std::int64_t scaled_limit);

    concurrency_limit_settings settings_;
    /// Upper bound of the limit.
    unsigned slots_;
    std::atomic<unsigned> in_flight_{0};
    /// The limit in thousandths of a request.
    std::atomic<std::int64_t> scaled_limit_;
    /// Baseline latency: a moving average that falls fast and rises slowly.
    std::atomic<std::int64_t> baseline_ns_{0};
    /// Recent latency: a moving average with a short memory.
    std::atomic<std::int64_t> recent_ns_{0};
};

} // namespace kumquatloom::limits

#endif
