#include <kumquatloom/limits/surge_estimate.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;

constexpr auto step = 100ms;

/// Lets time pass with these numbers of requests in each step.
void run(limits::surge_estimate& surge,
         core::time_point& now,
         int steps,
         double own,
         double reported)
{
    for (; steps > 0; --steps)
    {
        now += step;
        surge.add_own(own, now);
        surge.add_reported(reported, now);
    }
}

} // namespace

// Guards against a rise of the load that is noticed only when it is reported,
// and against refusals because of a rise that the counts already contain.
TEST_CASE("a rise of the own load precedes the reports", "[quota]")
{
    limits::surge_estimate surge;
    core::time_point now(100s);
    CHECK(surge.factor(now) == 1);
    run(surge, now, 200, 0.6, 60);
    CHECK(surge.factor(now) == 1);

    SECTION("a few requests are no rise")
    {
        surge.add_own(3, now);
        CHECK(surge.factor(now) < 3);
    }
    SECTION("the load of all sources rises")
    {
        run(surge, now, 2, 18, 60);
        CHECK(surge.factor(now) > 5);
        run(surge, now, 20, 18, 1800);
        CHECK(surge.factor(now) < 2);
    }
    SECTION("the load ends")
    {
        CHECK(surge.factor(now + 10s) == 1);
    }
}
