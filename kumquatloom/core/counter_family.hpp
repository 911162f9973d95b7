#ifndef KUMQUATLOOM_CORE_COUNTER_FAMILY_HPP
#define KUMQUATLOOM_CORE_COUNTER_FAMILY_HPP

#include <boost/assert.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::core
{

/// An enumeration with the values 0, 1, ... whose last enumerator is `count`.
template <typename Enum>
concept countable_enum = requires
{
    Enum::count;
};

/// Lock-free counters, one for each value of an enumeration.
template <countable_enum Enum>
class counter_family
{
public:
    /// Number of counters.
    static constexpr std::size_t size = static_cast<std::size_t>(Enum::count);

    /// Adds to the counter of one enumerator.
    void increment(Enum key, std::uint64_t amount = 1)
    {
        BOOST_ASSERT(key < Enum::count);
        values_[static_cast<std::size_t>(key)].fetch_add(
            amount, std::memory_order_relaxed);
    }

    /// The counter of one enumerator.
    std::uint64_t value(Enum key) const
    {
        BOOST_ASSERT(key < Enum::count);
        return values_[static_cast<std::size_t>(key)].load(
            std::memory_order_relaxed);
    }

    /// The sum of all counters.
    std::uint64_t total() const
    {
        std::uint64_t sum = 0;
        for (auto const& counter : values_)
            sum += counter.load(std::memory_order_relaxed);
        return sum;
    }

private:
    /// The counters, indexed by the enumeration.
    std::array<std::atomic<std::uint64_t>, size> values_{};
};

} // namespace kumquatloom::core

#endif
