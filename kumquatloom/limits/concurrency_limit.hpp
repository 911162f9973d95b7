#ifndef KUMQUATLOOM_LIMITS_CONCURRENCY_LIMIT_HPP
#define KUMQUATLOOM_LIMITS_CONCURRENCY_LIMIT_HPP

#include <kumquatloom/core/clock.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::limits
{

/// Settings of a concurrency limit.
struct concurrency_limit_settings
{
    /// Latency above this many hundredths of the usual one lowers the limit.
    unsigned tolerated_percent = 150;
    /// Latency above the usual one by less than this never lowers the limit:
    /// scheduling and the network cause it as well as a queue.
    std::chrono::microseconds tolerated_jitter{2000};
    /// The limit after a request that was refused or timed out, in hundredths
    /// of the limit before it.
    unsigned overload_percent = 90;
};

/// How a request to an upstream ended, as the limit sees it.
enum class concurrency_sample
{
    /// It was answered; its latency counts.
    answered,
    /// It was refused or timed out.
    overload,
    /// It says nothing about the load, for example because it was cancelled.
    ignored
};

/// Limits the requests in flight to one upstream. The limit follows the ratio
/// of the usual latency to the present one and stays between one and the
/// upstream's slots. Used by several threads at once; racing updates of the
/// estimates may lose a sample, never the count in flight.
class concurrency_limit
{
public:
    /// Starts at the upstream's number of slots.
    concurrency_limit(concurrency_limit_settings settings, unsigned slots);

    /// Takes a place if one is free; then release() must be called once.
    bool try_acquire();

    /// Gives the place back and learns from how the request ended.
    void release(concurrency_sample sample, core::duration latency);

    /// Requests that may be in flight.
    unsigned limit() const;

    /// Requests in flight.
    unsigned in_flight() const
    {
        return in_flight_.load(std::memory_order_relaxed);
    }

private:
    /// Learns from the latency of an answer.
    void learn(core::duration latency, unsigned in_flight);
    /// Stores a limit, in thousandths, within the bounds.
    void store_limit(std::int64_t limit);

    /// Settings.
    concurrency_limit_settings settings_;
    /// Upper bound of the limit.
    unsigned slots_;
    /// Requests in flight.
    std::atomic<unsigned> in_flight_{0};
    /// The limit in thousandths of a request.
    std::atomic<std::int64_t> limit_;
    /// Usual latency in nanoseconds: falls fast and rises slowly.
    std::atomic<std::int64_t> usual_ns_{0};
    /// Present latency in nanoseconds, smoothed.
    std::atomic<std::int64_t> present_ns_{0};
};

} // namespace kumquatloom::limits

#endif
