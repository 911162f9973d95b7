#include <kumquatloom/limits/concurrency_limit.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// The limit is kept in thousandths, so that it can move in small steps.
constexpr std::int64_t parts_per_place = 1000;
/// Weight of one sample in the present latency: one in 8.
constexpr std::int64_t present_divisor = 8;
/// Weight of a slower sample in the usual latency: one in 1,024, so that an
/// overload of some seconds does not become usual.
constexpr std::int64_t usual_divisor = 1024;
/// One update moves the limit by at most a fifth of the way.
constexpr std::int64_t limit_divisor = 5;
/// A single update never more than halves the target.
constexpr std::int64_t least_percent = 50;

std::int64_t moved(std::int64_t from, std::int64_t to, std::int64_t divisor)
{
    return from + (to - from) / divisor;
}

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_settings settings,
                                     unsigned slots)
    : settings_(settings)
    , slots_(slots)
    , limit_(slots * parts_per_place)
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
        learn(latency, before);
        break;
    case concurrency_sample::overload:
        store_limit(limit_.load(std::memory_order_relaxed) *
                    settings_.overload_percent / 100);
        break;
    case concurrency_sample::ignored:
        break;
    }
}

unsigned concurrency_limit::limit() const
{
    return static_cast<unsigned>(limit_.load(std::memory_order_relaxed) /
                                 parts_per_place);
}

void concurrency_limit::learn(core::duration latency, unsigned in_flight)
{
    auto const sample = std::max<std::int64_t>(latency.count(), 1);
    auto usual = usual_ns_.load(std::memory_order_relaxed);
    auto present = present_ns_.load(std::memory_order_relaxed);
    // The first sample is both.
    if (usual == 0)
        usual = present = sample;
    present = moved(present, sample, present_divisor);
    usual =
        moved(usual, sample, sample < usual ? present_divisor : usual_divisor);
    present_ns_.store(present, std::memory_order_relaxed);
    usual_ns_.store(usual, std::memory_order_relaxed);
    auto const limit = limit_.load(std::memory_order_relaxed);
    auto const jitter = core::duration(settings_.tolerated_jitter).count();
    auto const tolerated =
        std::max(settings_.tolerated_percent * usual / 100, usual + jitter);
    auto const percent = std::clamp<std::int64_t>(
        100 * tolerated / std::max<std::int64_t>(present, 1),
        least_percent,
        100);
    // One place more is allowed for, which lets the limit grow again. It grows
    // only while it is used, since latency at low load says nothing about it.
    auto const target = limit * percent / 100 + parts_per_place;
    bool const in_use = in_flight * parts_per_place * 2 >= limit;
    if (target < limit || in_use)
        store_limit(moved(limit, target, limit_divisor));
}

void concurrency_limit::store_limit(std::int64_t limit)
{
    limit_.store(std::clamp<std::int64_t>(
                     limit, parts_per_place, slots_ * parts_per_place),
                 std::memory_order_relaxed);
}

} // namespace kumquatloom::limits
