#include <kumquatloom/limits/concurrency_limit.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// The limit is stored in thousandths of a request, so that it can change in
/// small steps.
constexpr std::int64_t limit_scale = 1000;
/// A sample has a weight of 1/8 in the recent latency, and in the baseline if
/// it is below the baseline.
constexpr std::int64_t fast_divisor = 8;
/// A sample above the baseline has a weight of 1/1024 in the baseline, so that
/// an overload of some seconds does not raise it.
constexpr std::int64_t baseline_rise_divisor = 1024;
/// One update moves the limit by a fifth of its distance to the target.
constexpr std::int64_t limit_divisor = 5;
/// One update lowers the target to no less than half of the limit.
constexpr std::int64_t min_target_percent = 50;

/// Moves a value towards a target by one part in `divisor` of the distance.
std::int64_t
step_towards(std::int64_t from, std::int64_t to, std::int64_t divisor)
{
    return from + (to - from) / divisor;
}

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_settings settings,
                                     unsigned slots)
    : settings_(settings)
    , slots_(slots)
    , scaled_limit_(slots * limit_scale)
{
    BOOST_ASSERT(slots > 0);
}

bool concurrency_limit::try_acquire()
{
    auto count = in_flight_.load(std::memory_order_relaxed);
    do
    {
        if (count >= limit())
            return false;
    } while (!in_flight_.compare_exchange_weak(
        count, count + 1, std::memory_order_relaxed));
    return true;
}

void concurrency_limit::release(concurrency_sample sample,
                                core::duration latency)
{
    auto const before = in_flight_.fetch_sub(1, std::memory_order_relaxed);
    BOOST_ASSERT(before > 0);
    switch (sample)
    {
    case concurrency_sample::answered:
        update(latency, before);
        break;
    case concurrency_sample::overload:
        store_limit(scaled_limit_.load(std::memory_order_relaxed) *
                    settings_.backoff_percent / 100);
        break;
    case concurrency_sample::ignored:
        break;
    }
}

unsigned concurrency_limit::limit() const
{
    return static_cast<unsigned>(scaled_limit_.load(std::memory_order_relaxed) /
                                 limit_scale);
}

void concurrency_limit::update(core::duration latency, unsigned in_flight)
{
    auto const sample = std::max<std::int64_t>(latency.count(), 1);
    auto baseline = baseline_ns_.load(std::memory_order_relaxed);
    auto recent = recent_ns_.load(std::memory_order_relaxed);
    // The first sample initializes both averages.
    if (baseline == 0)
        baseline = recent = sample;
    recent = step_towards(recent, sample, fast_divisor);
    baseline =
        step_towards(baseline,
                     sample,
                     sample < baseline ? fast_divisor : baseline_rise_divisor);
    recent_ns_.store(recent, std::memory_order_relaxed);
    baseline_ns_.store(baseline, std::memory_order_relaxed);
    auto const scaled_limit = scaled_limit_.load(std::memory_order_relaxed);
    auto const jitter = core::duration(settings_.tolerated_jitter).count();
    auto const tolerated =
        std::max(settings_.tolerated_latency_percent * baseline / 100,
                 baseline + jitter);
    auto const percent = std::clamp<std::int64_t>(
        100 * tolerated / std::max<std::int64_t>(recent, 1),
        min_target_percent,
        100);
    // One extra request lets the limit grow again. It grows only while at
    // least half of it is in use, since the latency at low load does not show
    // whether the upstream could take more.
    auto const target = scaled_limit * percent / 100 + limit_scale;
    bool const in_use = in_flight * limit_scale * 2 >= scaled_limit;
    if (target < scaled_limit || in_use)
        store_limit(step_towards(scaled_limit, target, limit_divisor));
}

void concurrency_limit::store_limit(std::int64_t scaled_limit)
{
    scaled_limit_.store(std::clamp<std::int64_t>(
                            scaled_limit, limit_scale, slots_ * limit_scale),
                        std::memory_order_relaxed);
}

} // namespace kumquatloom::limits
