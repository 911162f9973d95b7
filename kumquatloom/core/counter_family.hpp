#ifndef KUMQUATLOOM_CORE_COUNTER_FAMILY_HPP
#define KUMQUATLOOM_CORE_COUNTER_FAMILY_HPP

#include <boost/assert.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::core
{

/// An enumeration whose values are 0, 1, ... up to, but not including, its
/// last enumerator `count`.
template <typename Reason>
concept countable_enum = requires
{
    Reason::count;
};

/// One counter for each value of an enumeration. Counting takes no lock.
template <countable_enum Reason>
class counter_family
{
public:
    /// Number of counters.
    static constexpr std::size_t size = static_cast<std::size_t>(Reason::count);

    /// Adds to the counter of one reason.
    void increment(Reason reason, std::uint64_t amount = 1)
    {
        BOOST_ASSERT(reason < Reason::count);
        values_[static_cast<std::size_t>(reason)].fetch_add(
            amount, std::memory_order_relaxed);
    }

    /// The counter of one reason.
    std::uint64_t value(Reason reason) const
    {
        BOOST_ASSERT(reason < Reason::count);
        return values_[static_cast<std::size_t>(reason)].load(
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
