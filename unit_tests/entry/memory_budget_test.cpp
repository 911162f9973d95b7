#include <kumquatloom/entry/memory_budget.hpp>

#include <catch2/catch.hpp>

#include <cstddef>
#include <vector>

namespace
{

using kumquatloom::entry::memory_budget;

constexpr std::size_t limit = 40 * 1024 * 1024;
constexpr std::size_t small_message = 32 * 1024;

/// Grows all reservations in turn, in equal steps, until none can grow.
void grow_all(std::vector<memory_budget::reservation>& reservations,
              std::size_t step)
{
    bool any_grown = true;
    for (std::size_t size = step; any_grown; size += step)
    {
        any_grown = false;
        for (auto& item : reservations)
            any_grown = item.grow_to(size) || any_grown;
    }
}

} // namespace

// Guards against large messages that leave no memory for others.
TEST_CASE("a memory budget keeps room for small messages", "[entry]")
{
    memory_budget budget(limit);

    SECTION("messages without end can't take all of it")
    {
        for (std::size_t const count : {1U, 4U, 32U, 128U})
        {
            CAPTURE(count);
            std::vector<memory_budget::reservation> endless;
            for (std::size_t number = 0; number < count; ++number)
                endless.emplace_back(budget);
            grow_all(endless, small_message);
            CHECK(budget.used() <= limit);
            CHECK(budget.used() > limit / 2);
            memory_budget::reservation other(budget);
            CHECK(other.grow_to(small_message));
        }
    }

    SECTION("a message that does not fit leaves the budget as it was")
    {
        memory_budget::reservation fitting(budget);
        REQUIRE(fitting.grow_to(limit / 2));
        memory_budget::reservation other(budget);
        CHECK_FALSE(other.grow_to(limit / 2 + 1));
        CHECK(budget.used() == limit / 2);
        CHECK(other.grow_to(limit / 4));
        CHECK_FALSE(fitting.grow_to(limit));
        CHECK(budget.used() == limit / 2 + limit / 4);
    }

    SECTION("what is released can be reserved again")
    {
        for (int round = 0; round < 3; ++round)
        {
            memory_budget::reservation large(budget);
            CHECK(large.grow_to(limit / 8 * 7));
            CHECK_FALSE(large.grow_to(limit / 8 * 7 + 1));
        }
        CHECK(budget.used() == 0);
    }
}
