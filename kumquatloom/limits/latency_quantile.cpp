#include <kumquatloom/limits/latency_quantile.hpp>

#include <boost/assert.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// A step is this part of the estimate, which reaches a tenfold change after
/// some dozens of samples above it.
constexpr std::int64_t step_divisor = 16;
/// Least estimate, so that a step is never zero.
constexpr std::int64_t least_ns = 10000;

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
    estimate_ns_.store(std::max(next, least_ns), std::memory_order_relaxed);
}

} // namespace kumquatloom::limits
