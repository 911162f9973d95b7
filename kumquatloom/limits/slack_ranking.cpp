#include <kumquatloom/limits/slack_ranking.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace kumquatloom::limits
{

namespace
{

constexpr double buckets_per_doubling = 2;
/// Factor by which a new request lowers the weight of the earlier ones, so that
/// about 64 of them count.
constexpr float decay = 63.0F / 64;

} // namespace

double slack_ranking::rank(core::duration slack)
{
    double const ms = std::chrono::duration<double, std::milli>(slack).count();
    auto const bucket =
        ms <= 1 ? std::size_t{0}
                : std::min(static_cast<std::size_t>(std::log2(ms) *
                                                    buckets_per_doubling) +
                               1,
                           buckets - 1);
    for (auto& weight : weights_)
        weight *= decay;
    weights_[bucket] += 1;
    auto const end = weights_.begin() + static_cast<std::ptrdiff_t>(bucket);
    double const below = std::accumulate(weights_.begin(), end, 0.0);
    double const total = std::accumulate(end, weights_.end(), below);
    // Multiples of the golden ratio are spread evenly over [0, 1).
    constexpr double golden_ratio = 0.6180339887498949;
    position_ = std::fmod(position_ + golden_ratio, 1.0);
    return (below + weights_[bucket] * position_) / total;
}

} // namespace kumquatloom::limits
