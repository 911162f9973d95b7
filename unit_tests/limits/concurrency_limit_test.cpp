#include <kumquatloom/limits/concurrency_limit.hpp>

#include <catch2/catch.hpp>

using namespace kumquatloom;
using namespace std::chrono_literals;

namespace
{

void answer(limits::concurrency_limit& limit, core::duration latency, int count)
{
    for (int i = 0; i < count; ++i)
    {
        REQUIRE(limit.try_acquire());
        limit.release(limits::concurrency_sample::answered, latency);
    }
}

} // namespace

// Guards against a limit that takes the jitter of a fast upstream for a queue:
// it fell to one, and requests waited 28 ms at the 99th percentile.
TEST_CASE("the concurrency limit tells jitter from a queue", "[limits]")
{
    constexpr unsigned slots = 6;
    limits::concurrency_limit limit({}, slots);
    answer(limit, 100us, 50);

    SECTION("an upstream that is sometimes 1 ms slower keeps its slots")
    {
        answer(limit, 1100us, 50);
        CHECK(limit.limit() == slots);
    }

    SECTION("one that takes 20 ms longer loses some")
    {
        answer(limit, 20100us, 50);
        CHECK(limit.limit() < slots);
        CHECK(limit.limit() >= 1);
    }
}
