#include <kumquatloom/health/attempt_recorder.hpp>

namespace kumquatloom::health
{

namespace
{

/// Divisor of the moving averages: each sample has a weight of 1/8, so that a
/// change shows after a few attempts and one slow response does not dominate.
constexpr int smoothing_divisor = 8;
constexpr std::int32_t success_rate_scale = 1000000;

void increment(std::atomic<std::uint32_t>& counter)
{
    counter.fetch_add(1, std::memory_order_relaxed);
}

std::uint32_t fetch_and_reset(std::atomic<std::uint32_t>& counter)
{
    return counter.exchange(0, std::memory_order_relaxed);
}

} // namespace

void attempt_recorder::record(attempt_result result, core::duration latency)
{
    switch (result)
    {
    case attempt_result::success:
        increment(latency.count() >
                          late_threshold_.load(std::memory_order_relaxed)
                      ? late_
                      : ok_);
        smooth_latency(latency);
        break;
    case attempt_result::upstream_error:
    case attempt_result::connect_failure:
        increment(error_);
        break;
    case attempt_result::timeout:
        increment(timeout_);
        // A lower bound: the response would have taken at least this long.
        smooth_latency(latency);
        break;
    case attempt_result::wrong_answer:
    case attempt_result::cut_short:
        increment(wrong_);
        break;
    case attempt_result::refused:
        increment(refused_);
        break;
    case attempt_result::cancelled:
    case attempt_result::count:
        break;
    }
    if (result != attempt_result::cancelled)
        smooth_success_rate(result == attempt_result::success);
}

evidence_counts attempt_recorder::drain()
{
    evidence_counts counts;
    counts.ok = fetch_and_reset(ok_);
    counts.error = fetch_and_reset(error_);
    counts.timeout = fetch_and_reset(timeout_);
    counts.wrong = fetch_and_reset(wrong_);
    counts.late = fetch_and_reset(late_);
    return counts;
}

std::uint32_t attempt_recorder::drain_refusals()
{
    return fetch_and_reset(refused_);
}

double attempt_recorder::smoothed_success_rate() const
{
    return static_cast<double>(success_rate_.load(std::memory_order_relaxed)) /
           success_rate_scale;
}

void attempt_recorder::smooth_latency(core::duration sample)
{
    auto old = latency_.load(std::memory_order_relaxed);
    core::duration::rep next = 0;
    do
    {
        next = old == 0 ? sample.count()
                        : old + (sample.count() - old) / smoothing_divisor;
    } while (
        !latency_.compare_exchange_weak(old, next, std::memory_order_relaxed));
}

void attempt_recorder::smooth_success_rate(bool succeeded)
{
    std::int32_t const sample = succeeded ? success_rate_scale : 0;
    auto old = success_rate_.load(std::memory_order_relaxed);
    while (!success_rate_.compare_exchange_weak(old,
                                                old + (sample - old) /
                                                          smoothing_divisor,
                                                std::memory_order_relaxed))
    {
    }
}

} // namespace kumquatloom::health
