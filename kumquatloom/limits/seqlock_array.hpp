#ifndef KUMQUATLOOM_LIMITS_SEQLOCK_ARRAY_HPP
#define KUMQUATLOOM_LIMITS_SEQLOCK_ARRAY_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::limits
{

/// Several words that one thread replaces together and many threads read
/// together without a lock. The writer fills the copy that is not in use and
/// then switches over, so that a stalled writer does not hold up readers.
template <std::size_t Size>
class latched_words
{
public:
    /// The words.
    using words = std::array<std::int64_t, Size>;

    /// A consistent copy. Tries again only if the words were replaced twice
    /// meanwhile.
    words read() const
    {
        words result;
        while (true)
        {
            auto const version = version_.load(std::memory_order_acquire);
            auto const& copy = copies_[version & 1U];
            // A word of a later replacement makes the later version visible.
            for (std::size_t i = 0; i < Size; ++i)
                result[i] = copy[i].load(std::memory_order_acquire);
            if (version_.load(std::memory_order_relaxed) == version)
                return result;
        }
    }

    /// Replaces the words. Only one thread at a time.
    void write(words const& values)
    {
        auto const next = version_.load(std::memory_order_relaxed) + 1;
        auto& copy = copies_[next & 1U];
        for (std::size_t i = 0; i < Size; ++i)
            copy[i].store(values[i], std::memory_order_release);
        version_.store(next, std::memory_order_release);
    }

private:
    /// Counts the replacements; the lowest bit selects the copy in use.
    std::atomic<std::uint64_t> version_{0};
    /// The copy in use and the one to fill next.
    std::array<std::array<std::atomic<std::int64_t>, Size>, 2> copies_{};
};

} // namespace kumquatloom::limits

#endif
