#ifndef KUMQUATLOOM_SOAK_RANDOM_SOURCE_HPP
#define KUMQUATLOOM_SOAK_RANDOM_SOURCE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace kumquatloom::soak
{

/// Random number generator of one part of a soak. Each part has its own, so
/// that it draws the same numbers in every run with a seed, independent of the
/// timing of other parts.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// Draws a number below `bound`.
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          bound - 1)(engine_);
    }

    /// Returns true with this probability.
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(engine_);
    }

    /// Draws a duration within the bounds.
    std::chrono::milliseconds between(std::chrono::milliseconds min,
                                      std::chrono::milliseconds max)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::chrono::milliseconds::rep>(
                min.count(), max.count())(engine_));
    }

    /// Draws a seed for the generator of another part.
    std::uint64_t fork()
    {
        return engine_();
    }

private:
    /// The underlying generator.
    std::mt19937_64 engine_;
};

} // namespace kumquatloom::soak

#endif
