#include <kumquatloom/limits/work_estimate.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatloom::limits
{

namespace
{

using namespace std::chrono_literals;

/// Half-life of a sample. After 2 s, samples from before a change have a
/// sixteenth of their weight.
constexpr core::duration half_life = 500ms;
/// Smallest factor that one new sample applies to the weight of all others, so
/// that an instance with few requests keeps about eight of them.
constexpr double min_decay = 7.0 / 8;
/// Age of the last sample at which the estimate is ignored.
constexpr core::duration max_age = 2s;
constexpr core::duration first_bucket = 1ms;
constexpr double buckets_per_doubling = 4;

} // namespace

void work_estimate::record(core::duration time, core::time_point now)
{
    auto const age = std::max(now - last_sample_, core::duration::zero());
    auto const decay = static_cast<float>(
        std::max(min_decay,
                 std::exp2(-std::chrono::duration<double>(age) /
                           std::chrono::duration<double>(half_life))));
    total_ = 0;
    for (auto& weight : weights_)
        total_ += weight *= decay;
    double const ratio = std::chrono::duration<double>(time) /
                         std::chrono::duration<double>(first_bucket);
    auto const position =
        ratio <= 1 ? 0.0 : std::log2(ratio) * buckets_per_doubling;
    auto const bucket =
        std::min(static_cast<std::size_t>(position), buckets - 1);
    weights_[bucket] += 1;
    total_ += 1;
    last_sample_ = std::max(last_sample_, now);
}

work_times work_estimate::times(core::time_point now) const
{
    if (total_ == 0 || now - last_sample_ > max_age)
        return {};
    return {quantile(0.1), quantile(0.5), quantile(0.9)};
}

core::duration work_estimate::quantile(double fraction) const
{
    double const wanted = fraction * total_;
    double sum = 0;
    std::size_t bucket = 0;
    double part = 0;
    for (; bucket < buckets; ++bucket)
    {
        double const weight = weights_[bucket];
        if (weight > 0 && sum + weight >= wanted)
        {
            part = (wanted - sum) / weight;
            break;
        }
        sum += weight;
    }
    return std::chrono::duration_cast<core::duration>(
        first_bucket *
        std::exp2((static_cast<double>(bucket) + part) / buckets_per_doubling));
}

} // namespace kumquatloom::limits
