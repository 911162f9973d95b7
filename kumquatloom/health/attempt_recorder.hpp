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

/// Collects the results of attempts at one upstream. Any thread records, with
/// relaxed atomics and no lock; one control thread drains.
class attempt_recorder : public boost::intrusive_ref_counter<attempt_recorder>
{
public:
    /// Adds the result of an attempt.
    void record(attempt_result result, core::duration latency);

    /// Returns the counts since the last call and starts again from zero.
    evidence_counts drain();

    /// Returns the number of refusals since the last call and starts again.
    std::uint32_t drain_refusals();

    /// Successful attempts that take longer than this count as late.
    void judge_late_above(core::duration threshold)
    {
        late_above_.store(threshold.count(), std::memory_order_relaxed);
    }

    /// Exponentially smoothed latency; zero before the first sample.
    core::duration smoothed_latency() const
    {
        return core::duration(latency_.load(std::memory_order_relaxed));
    }

    /// Exponentially smoothed fraction of attempts that succeeded.
    double smoothed_success() const;

private:
    /// Moves the smoothed latency towards a sample.
    void smooth_latency(core::duration sample);
    /// Moves the smoothed success towards 0 or 1.
    void smooth_success(bool succeeded);

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
    /// Smoothed success in millionths.
    std::atomic<std::int32_t> success_{1000000};
    /// Threshold of lateness in ticks of core::duration.
    std::atomic<core::duration::rep> late_above_{core::duration::max().count()};
};

} // namespace kumquatloom::health

#endif
