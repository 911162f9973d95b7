#include <kumquatloom/limits/deadline_admission.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// Weight of one sample: one in 8.
constexpr std::int64_t sample_divisor = 8;

} // namespace

deadline_admission::deadline_admission(deadline_admission_settings settings)
    : settings_(settings)
{
}

void deadline_admission::record(core::duration service_time,
                                core::time_point now)
{
    auto const sample = std::max<std::int64_t>(service_time.count(), 1);
    auto const old = service_ns_.load(std::memory_order_relaxed);
    service_ns_.store(old == 0 ? sample : old + (sample - old) / sample_divisor,
                      std::memory_order_relaxed);
    sampled_ns_.store(now.time_since_epoch().count(),
                      std::memory_order_relaxed);
}

bool deadline_admission::admits(core::duration left,
                                std::size_t queued,
                                std::size_t slots,
                                core::time_point now) const
{
    if (left <= core::duration::zero())
        return false;
    core::time_point const sampled(
        core::duration(sampled_ns_.load(std::memory_order_relaxed)));
    if (now - sampled >= settings_.estimate_life)
        return true;
    auto const wait = estimate(queued, slots) - estimate(0, slots);
    return wait + assumed_service_time() <= left;
}

core::duration deadline_admission::assumed_service_time() const
{
    return estimate(0, 1) * settings_.service_time_percent / 100;
}

core::duration deadline_admission::estimate(std::size_t queued,
                                            std::size_t slots) const
{
    core::duration const service(service_ns_.load(std::memory_order_relaxed));
    auto const places =
        static_cast<std::int64_t>(std::max<std::size_t>(slots, 1));
    return service + service * static_cast<std::int64_t>(queued) / places;
}

} // namespace kumquatloom::limits
