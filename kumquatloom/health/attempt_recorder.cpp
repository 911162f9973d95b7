#include <kumquatloom/health/attempt_recorder.hpp>

namespace kumquatloom::health
{

namespace
{

/// Weight of a new sample is 1/8: a change shows after a handful of attempts
/// and a single slow response does not dominate.
constexpr int smoothing_divisor = 8;
constexpr std::int32_t success_scale = 1000000;

void add(std::atomic<std::uint32_t>& counter)
{
    counter.fetch_add(1, std::memory_order_relaxed);
}

std::uint32_t take(std::atomic<std::uint32_t>& counter)
{
    return counter.exchange(0, std::memory_order_relaxed);
}

} // namespace

void attempt_recorder::record(attempt_result result, core::duration latency)
{
    switch (result)
    {
    case attempt_result::success:
        add(latency.count() > late_above_.load(std::memory_order_relaxed)
                ? late_
                : ok_);
        smooth_latency(latency);
        break;
    case attempt_result::upstream_error:
    case attempt_result::connect_failure:
        add(error_);
        break;
    case attempt_result::timeout:
        add(timeout_);
        // The response would have taken at least this long.
        smooth_latency(latency);
        break;
    case attempt_result::wrong_answer:
    case attempt_result::cut_short:
        add(wrong_);
        break;
    case attempt_result::refused:
        add(refused_);
        break;
    case attempt_result::cancelled:
    case attempt_result::count:
        break;
    }
    if (result != attempt_result::cancelled)
        smooth_success(result == attempt_result::success);
}

evidence_counts attempt_recorder::drain()
{
    evidence_counts counts;
    counts.ok = take(ok_);
    counts.error = take(error_);
    counts.timeout = take(timeout_);
    counts.wrong = take(wrong_);
    counts.late = take(late_);
    return counts;
}

std::uint32_t attempt_recorder::drain_refusals()
{
    return take(refused_);
}

double attempt_recorder::smoothed_success() const
{
    return static_cast<double>(success_.load(std::memory_order_relaxed)) /
           success_scale;
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

void attempt_recorder::smooth_success(bool succeeded)
{
    std::int32_t const sample = succeeded ? success_scale : 0;
    auto old = success_.load(std::memory_order_relaxed);
    while (!success_.compare_exchange_weak(old,
                                           old + (sample - old) /
                                                     smoothing_divisor,
                                           std::memory_order_relaxed))
    {
    }
}

} // namespace kumquatloom::health
