#include <kumquatloom/limits/concurrency_limit.hpp>

#include <catch2/catch.hpp>

using namespace kumquatloom;
using namespace std::chrono_literals;

namespace
{

void run_requests(limits::concurrency_limit& limit,
                  core::duration latency,
                  int count)
{
    for (int i = 0; i < count; ++i)
    {
        REQUIRE(limit.try_acquire());
        limit.release(limits::concurrency_sample::answered, latency);
    }
}

} // namespace

// Guards against mistaking the latency jitter of a fast upstream for queueing.
// Such a mistake lowered the limit to one, and requests waited 28 ms at the
// 99th percentile.
TEST_CASE("latency jitter does not lower the concurrency limit", "[limits]")
{
    constexpr unsigned slots = 6;
    limits::concurrency_limit limit({}, slots);
    run_requests(limit, 100us, 50);

    SECTION("an upstream that is sometimes 1 ms slower keeps its slots")
    {
        run_requests(limit, 1100us, 50);
        CHECK(limit.limit() == slots);
    }

    SECTION("an upstream that takes 20 ms longer loses some of its slots")
    {
        run_requests(limit, 20100us, 50);
        CHECK(limit.limit() < slots);
        CHECK(limit.limit() >= 1);
    }
}
