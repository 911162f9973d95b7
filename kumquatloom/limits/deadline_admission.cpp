#include <kumquatloom/limits/deadline_admission.hpp>

#include <algorithm>

namespace kumquatloom::limits
{

namespace
{

/// A sample has a weight of 1/8 in the moving average.
constexpr std::int64_t sample_divisor = 8;

} // namespace

deadline_admission::deadline_admission(deadline_admission_settings settings)
    : settings_(settings)
{
}

void deadline_admission::record(core::duration service_time,
                                core::time_point now)
{
    // At least 1 ns, because an average of 0 means that there is no sample yet.
    auto const sample = std::max<std::int64_t>(service_time.count(), 1);
    auto const old = service_ns_.load(std::memory_order_relaxed);
    service_ns_.store(old == 0 ? sample : old + (sample - old) / sample_divisor,
                      std::memory_order_relaxed);
    last_sample_ns_.store(now.time_since_epoch().count(),
                          std::memory_order_relaxed);
}

bool deadline_admission::admits(core::duration remaining,
                                std::size_t queued,
                                std::size_t slots,
                                core::time_point now) const
{
    if (remaining <= core::duration::zero())
        return false;
    core::time_point const last_sample_time(
        core::duration(last_sample_ns_.load(std::memory_order_relaxed)));
    if (now - last_sample_time >= settings_.estimate_max_age)
        return true;
    auto const queueing_time = estimate(queued, slots) - estimate(0, slots);
    return queueing_time + assumed_service_time() <= remaining;
}

core::duration deadline_admission::assumed_service_time() const
{
    return estimate(0, 1) * settings_.service_time_percent / 100;
}

core::duration deadline_admission::estimate(std::size_t queued,
                                            std::size_t slots) const
{
    core::duration const service(service_ns_.load(std::memory_order_relaxed));
    auto const slot_count =
        static_cast<std::int64_t>(std::max<std::size_t>(slots, 1));
    return service + service * static_cast<std::int64_t>(queued) / slot_count;
}

} // namespace kumquatloom::limits
