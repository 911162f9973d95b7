#include <kumquatloom/health/coverage_schedule.hpp>

#include <catch2/catch.hpp>

#include <chrono>

using namespace kumquatloom;
using namespace std::chrono_literals;

// Guards against upstreams without requests for 2 s, and against many requests
// at one that keeps failing.
TEST_CASE("an avoided upstream is due for a request within 2 s", "[health]")
{
    core::time_point const start{1h};
    health::coverage_schedule schedule(start);

    SECTION("after its last result, whatever that was")
    {
        schedule.record(true, start + 100ms);
        CHECK(schedule.due_at(0) > start + 1s);
        CHECK(schedule.due_at(0) < start + 2s);
        schedule.record(false, start + 1s);
        CHECK(schedule.due_at(0) > start + 1900ms);
        CHECK(schedule.due_at(0) < start + 3s);
    }
    SECTION("observers have turns, several of them in time")
    {
        CHECK(schedule.due_at(1) > schedule.due_at(0));
        CHECK(schedule.due_at(3) < start + 2s);
    }
    SECTION("later if it has failed repeatedly")
    {
        for (int i = 0; i < 3; ++i)
            schedule.record(true, start);
        CHECK(schedule.due_at(0) > start + 2s);
        SECTION("but not after a success")
        {
            schedule.record(false, start);
            CHECK(schedule.due_at(0) < start + 2s);
        }
    }
}
