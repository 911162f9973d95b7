#ifndef KUMQUATLOOM_HEALTH_ATTEMPT_RECORDER_HPP
#define KUMQUATLOOM_HEALTH_ATTEMPT_RECORDER_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/health/evidence_counts.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <cstdint>

namespace kumquatloom::health
{

/// Counts the results of attempts at one upstream and smooths its latency and
/// success rate. Any thread records, with relaxed atomics and no lock; one
/// control thread drains the counts.
class attempt_recorder : public boost::intrusive_ref_counter<attempt_recorder>
{
public:
    void record(attempt_result result, core::duration latency);

    /// Returns the counts since the last call and resets them.
    evidence_counts drain();

    /// Returns the number of refusals since the last call and resets it.
    std::uint32_t drain_refusals();

    /// Sets the latency above which a successful attempt counts as late.
    void change_late_threshold(core::duration threshold)
    {
        late_threshold_.store(threshold.count(), std::memory_order_relaxed);
    }

    /// Exponentially weighted moving average of the latency; zero before the
    /// first sample.
    core::duration smoothed_latency() const
    {
        return core::duration(latency_.load(std::memory_order_relaxed));
    }

    /// Exponentially weighted moving average of the success rate, 0 to 1.
    double smoothed_success_rate() const;

private:
    /// Adds a sample to the smoothed latency.
    void smooth_latency(core::duration sample);
    /// Adds a sample to the smoothed success rate.
    void smooth_success_rate(bool succeeded);

    /// Counts since the last drain, as in evidence_counts.
    std::atomic<std::uint32_t> ok_{0};
    std::atomic<std::uint32_t> error_{0};
    std::atomic<std::uint32_t> timeout_{0};
    std::atomic<std::uint32_t> wrong_{0};
    std::atomic<std::uint32_t> late_{0};
    /// Refusals since the last drain.
    std::atomic<std::uint32_t> refused_{0};
    /// Smoothed latency in ticks of core::duration.
    std::atomic<core::duration::rep> latency_{0};
    /// Smoothed success rate in millionths.
    std::atomic<std::int32_t> success_rate_{1000000};
    /// Latency threshold of late successes in ticks of core::duration.
    std::atomic<core::duration::rep> late_threshold_{
        core::duration::max().count()};
};

} // namespace kumquatloom::health

#endif
