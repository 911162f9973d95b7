#include <kumquatloom/limits/coverage_trials.hpp>

#include <catch2/catch.hpp>

#include <chrono>

using namespace kumquatloom;
using namespace std::chrono_literals;

// Guards against trials that cost callers their responses while a service works
// as usual, and against upstreams that get no requests while it doesn't.
TEST_CASE("requests that can't be repeated are trials only in need", "[limits]")
{
    core::time_point const start{1h};
    limits::coverage_trials trials;
    auto const record = [&](int served, int unserved, core::time_point at)
    {
        for (int i = 0; i < served; ++i)
            trials.record_request(true, at);
        for (int i = 0; i < unserved; ++i)
            trials.record_request(false, at);
    };

    SECTION("not before the first request")
    {
        CHECK_FALSE(trials.permits(start));
    }
    SECTION("not if a single request was not served")
    {
        record(3, 1, start);
        CHECK_FALSE(trials.permits(start));
    }
    SECTION("not if less than a tenth was not served")
    {
        record(95, 5, start);
        CHECK_FALSE(trials.permits(start));
    }
    SECTION("if more than a tenth was not served")
    {
        record(8, 3, start);
        REQUIRE(trials.permits(start));
        SECTION("one request in four")
        {
            trials.record_trial();
            record(2, 1, start);
            CHECK_FALSE(trials.permits(start));
            record(1, 0, start);
            CHECK(trials.permits(start));
        }
        SECTION("and no longer once requests are served again")
        {
            record(30, 0, start + 1s);
            CHECK_FALSE(trials.permits(start + 1s));
        }
    }
}
