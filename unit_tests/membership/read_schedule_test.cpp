#include <kumquatloom/membership/read_schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::membership;
using namespace std::chrono_literals;

core::time_point const start(1000s);

} // namespace

// Guards against reads of the store by all instances of a failure domain.
TEST_CASE("one instance reads for its failure domain", "[membership]")
{
    read_schedule_settings const settings;
    auto const first_read_due = start + settings.first_read_age;
    read_schedule first(settings);
    read_schedule second(settings);
    CHECK(first.is_due({0, 12}, start));
    CHECK(second.is_due({1, 12}, start));
    first.record_read(start);
    second.record_read(start);

    SECTION("the lowest rank reads when its data is old")
    {
        CHECK_FALSE(first.is_due({0, 12}, first_read_due - 1ms));
        CHECK(first.is_due({0, 12}, first_read_due));
        CHECK_FALSE(second.is_due({1, 12}, first_read_due));
    }

    SECTION("the next rank reads if the lowest does not")
    {
        CHECK(second.is_due({1, 12}, first_read_due + settings.rank_step));
    }

    SECTION("a neighbour's read counts like an own read")
    {
        second.record_read(first_read_due);
        CHECK_FALSE(
            second.is_due({1, 12}, first_read_due + settings.rank_step));
        // An earlier read does not replace a later one.
        second.record_read(start);
        CHECK_FALSE(
            second.is_due({1, 12}, first_read_due + settings.rank_step));
    }

    SECTION("an instance refused by the store lets others read first")
    {
        first.failed(first_read_due);
        CHECK_FALSE(first.is_due({0, 12}, first_read_due + settings.rank_step));
        CHECK(second.is_due({1, 12}, first_read_due + settings.rank_step));
        first.succeeded(first_read_due + settings.rank_step);
        CHECK(first.is_due({0, 12}, first_read_due + settings.rank_step));
    }

    SECTION("consecutive failures increase the retry delay to a bound")
    {
        for (int i = 0; i < 40; ++i)
            first.failed(start + 1s);
        CHECK_FALSE(first.is_due({0, 1}, start + 1s + 500ms));
        CHECK(first.is_due({0, 1}, start + 1s + 600ms));
    }
}

// Guards against a change that is not in force in time because the reader has
// died, whatever the ranks of the remaining instances.
TEST_CASE("every instance reads before two seconds have passed", "[membership]")
{
    rc::prop("for any rank and domain size",
             []
             {
                 auto const rank = *rc::gen::inRange<std::size_t>(0, 200);
                 auto const size = *rc::gen::inRange<std::size_t>(1, 200);
                 read_schedule schedule({});
                 schedule.record_read(start);
                 RC_ASSERT(schedule.is_due({rank, size}, start + 1500ms));
             });
}

// Guards against stale data while some instances cannot read. Simulates a
// domain of twelve instances, some of which the store refuses.
TEST_CASE("the data of a domain stays fresh while an instance can read",
          "[membership]")
{
    rc::prop("with a random set of instances that cannot read",
             []
             {
                 constexpr std::size_t size = 12;
                 auto const refused = *rc::gen::container<std::vector<bool>>(
                     size, rc::gen::arbitrary<bool>());
                 RC_PRE(std::count(refused.begin(), refused.end(), false) > 0);
                 std::vector<read_schedule> domain(size, read_schedule({}));
                 for (auto& item : domain)
                     item.record_read(start);
                 auto last_read = start;
                 unsigned reads = 0;
                 for (auto now = start; now < start + 20s; now += 25ms)
                 {
                     for (std::size_t rank = 0; rank < size; ++rank)
                     {
                         if (!domain[rank].is_due({rank, size}, now))
                             continue;
                         if (refused[rank])
                         {
                             domain[rank].failed(now);
                             continue;
                         }
                         ++reads;
                         domain[rank].succeeded(now);
                         last_read = now;
                         for (auto& item : domain)
                             item.record_read(now);
                     }
                     RC_ASSERT(now - last_read <= 1700ms);
                 }
                 // About two reads per second by all instances together.
                 RC_ASSERT(reads <= 45U);
             });
}

// Guards against a large domain whose instances all repeatedly call a store
// that is down, and against retry delays so long that its return is noticed
// late.
TEST_CASE("a domain makes few calls to a store that is down", "[membership]")
{
    auto const size = GENERATE(as<std::size_t>(), 1, 4, 12, 25, 100, 640);
    std::vector<read_schedule> domain(size, read_schedule({}));
    for (auto& item : domain)
        item.record_read(start);
    unsigned calls = 0;
    auto const outage_end = start + 6s;
    auto now = start;
    // Each call fails immediately.
    for (; now < outage_end; now += 5ms)
        for (std::size_t rank = 0; rank < size; ++rank)
            if (domain[rank].is_due({rank, size}, now))
            {
                domain[rank].failed(now);
                ++calls;
            }
    // At most four calls per instance, plus ten calls per second of the whole
    // domain.
    CHECK(calls <= 60 + 4 * size);
    CHECK(calls >= 2);

    SECTION("and soon detects that the store is back")
    {
        // The platform considers a store stable three seconds after its return;
        // half of that is left for distributing the changes.
        bool detected = false;
        for (; !detected && now < outage_end + 1500ms; now += 5ms)
            for (std::size_t rank = 0; rank < size && !detected; ++rank)
                detected = domain[rank].is_due({rank, size}, now);
        CHECK(detected);
    }
}

// Guards against reads by all instances of a domain at the same moment, when
// the lowest ranks are refused. Those ranks are not simulated: they read whole
// steps apart (`stepped_ranks`).
TEST_CASE("instances of a large domain do not read simultaneously",
          "[membership]")
{
    constexpr std::size_t size = 25;
    std::vector<read_schedule> domain(size, read_schedule({}));
    for (auto& item : domain)
        item.record_read(start);
    unsigned max_reads = 0;
    for (auto now = start; now < start + 1500ms; now += 25ms)
    {
        unsigned reads = 0;
        for (std::size_t rank = 4; rank < size; ++rank)
            if (domain[rank].is_due({rank, size}, now))
            {
                domain[rank].failed(now);
                ++reads;
            }
        max_reads = std::max(max_reads, reads);
    }
    CHECK(max_reads <= 3);
}
