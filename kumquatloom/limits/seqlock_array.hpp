#ifndef KUMQUATLOOM_LIMITS_SEQLOCK_ARRAY_HPP
#define KUMQUATLOOM_LIMITS_SEQLOCK_ARRAY_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::limits
{

/// A double-buffered sequence lock (seqlock): one writer at a time replaces an
/// array of words, and many readers get a consistent copy without a lock. The
/// writer fills the copy that is not in use before it switches over, so that a
/// preempted writer never makes readers spin.
template <std::size_t Size>
class seqlock_array
{
public:
    using words = std::array<std::int64_t, Size>;

    /// Returns a consistent copy. Retries only if the words change during the
    /// read; the copy being read is overwritten by the second change.
    words read() const
    {
        words result;
        while (true)
        {
            auto const version = version_.load(std::memory_order_acquire);
            auto const& copy = copies_[version & 1U];
            // Reading a word of a later write also makes the version before
            // that write visible (acquire/release), so the check below fails.
            for (std::size_t i = 0; i < Size; ++i)
                result[i] = copy[i].load(std::memory_order_acquire);
            if (version_.load(std::memory_order_relaxed) == version)
                return result;
        }
    }

    /// Replaces the words. Must not be called by two threads at once.
    void write(words const& values)
    {
        auto const next = version_.load(std::memory_order_relaxed) + 1;
        auto& copy = copies_[next & 1U];
        for (std::size_t i = 0; i < Size; ++i)
            copy[i].store(values[i], std::memory_order_release);
        version_.store(next, std::memory_order_release);
    }

private:
    /// Number of writes; the lowest bit selects the copy in use.
    std::atomic<std::uint64_t> version_{0};
    /// The copy in use and the one that the next write fills.
    std::array<std::array<std::atomic<std::int64_t>, Size>, 2> copies_{};
};

} // namespace kumquatloom::limits

#endif
