#include <kumquatloom/limits/latency_quantile.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// A step is proportional to the estimate, so that a tenfold rise in latency is
/// followed within some dozens of samples.
constexpr std::int64_t step_divisor = 16;
/// Lower bound of the estimate; keeps the step above zero.
constexpr std::int64_t min_estimate_ns = 10000;

} // namespace

latency_quantile::latency_quantile(latency_quantile_settings settings)
    : settings_(settings)
    , estimate_ns_(core::duration(settings.initial_estimate).count())
{
    BOOST_ASSERT(settings.percent < 100);
}

void latency_quantile::record(core::duration latency)
{
    auto const old = estimate_ns_.load(std::memory_order_relaxed);
    auto const step = old / step_divisor;
    auto const next = latency.count() > old
                          ? old + step * settings_.percent / 100
                          : old - step * (100 - settings_.percent) / 100;
    estimate_ns_.store(std::max(next, min_estimate_ns),
                       std::memory_order_relaxed);
}

} // namespace kumquatloom::limits
