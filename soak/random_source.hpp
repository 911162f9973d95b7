#ifndef KUMQUATLOOM_SOAK_RANDOM_SOURCE_HPP
#define KUMQUATLOOM_SOAK_RANDOM_SOURCE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace kumquatloom::soak
{

/// Random numbers of one part of a soak. Parts with sources of their own draw
/// the same numbers in every run of a seed, whatever the others do.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// A number below `bound`.
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          bound - 1)(engine_);
    }

    /// Whether something of this probability happens.
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(engine_);
    }

    /// A length of time within the bounds.
    std::chrono::milliseconds between(std::chrono::milliseconds least,
                                      std::chrono::milliseconds most)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::chrono::milliseconds::rep>(
                least.count(), most.count())(engine_));
    }

    /// The seed of another part's source.
    std::uint64_t fork()
    {
        return engine_();
    }

private:
    /// Draws the numbers.
    std::mt19937_64 engine_;
};

} // namespace kumquatloom::soak

#endif
