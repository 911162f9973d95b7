#include <kumquatloom/limits/admission_level.hpp>
#include <kumquatloom/limits/admission_levels.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

core::time_point const start(1000s);

/// Report of an instance by requests per second, waiting requests and slots per
/// second.
room_report
report_of(float high, float normal, float low, float waiting, float slots)
{
    return {{high, normal, low}, waiting, slots};
}

/// Three high and seven low requests for five slots.
room_report const overload = report_of(3, 0, 7, 3, 5);

/// Part of 1,000 requests of a priority that is refused.
double refused_part(admission_level& level,
                    priority value,
                    core::duration slack,
                    core::time_point now)
{
    int refused = 0;
    for (int i = 0; i < 1000; ++i)
        refused += level.refuses(value, slack, now) ? 1 : 0;
    return refused / 1000.0;
}

/// Updates a level with reports of ten others every 50 ms for some time;
/// returns the end.
core::time_point run(admission_level& level,
                     room_report const& others,
                     core::time_point now,
                     core::duration time)
{
    static std::uint32_t sequence = 0;
    for (auto const end = now + time; now < end; now += 50ms)
    {
        ++sequence;
        for (std::uint32_t source = 0; source < 10; ++source)
            level.record(source, 1, sequence, others, now);
        level.update(others, now);
    }
    return now;
}

} // namespace

// Guards against urgent requests that are refused at the rate of others because
// instances with other requests take the slots.
TEST_CASE("the admission level keeps room for urgent requests",
          "[limits][admission-level]")
{
    admission_level level;

    SECTION("an instance that hears from no other refuses nothing")
    {
        for (auto now = start; now < start + 5s; now += 50ms)
            level.update(overload, now);
        CHECK(level.value(start + 5s) == 0);
        CHECK(refused_part(level, priority::low, 0ms, start + 5s) == 0);
    }

    SECTION("it converges within a second, and decays without reports")
    {
        auto const now = run(level, overload, start, 1s);
        CHECK(level.value(now) > 0.9);
        CHECK(refused_part(level, priority::low, 100ms, now) > 0.9);
        CHECK(refused_part(level, priority::high, 0ms, now) == 0);
        CHECK(level.value(now + 600ms) < level.value(now));
        CHECK(level.value(now + 1s) == 0);
        CHECK(refused_part(level, priority::low, 0ms, now + 1s) == 0);
    }

    SECTION("it ends within a second of the shortage")
    {
        auto const now = run(level, overload, start, 2s);
        CHECK(level.value(run(level, report_of(3, 0, 3, 0, 6), now, 1s)) <
              0.01);
    }

    SECTION("of a priority, requests with less slack are refused first")
    {
        // Half of the low requests have room.
        auto const now = run(level, report_of(5, 0, 10, 0.2F, 10), start, 2s);
        CHECK(level.value(now) > 0.3);
        CHECK(level.value(now) < 0.7);
        int urgent_slack = 0;
        int ample_slack = 0;
        for (int i = 0; i < 1000; ++i)
        {
            urgent_slack += level.refuses(priority::low, 20ms, now) ? 1 : 0;
            ample_slack += level.refuses(priority::low, 400ms, now) ? 1 : 0;
        }
        CHECK(urgent_slack > 600);
        CHECK(ample_slack < urgent_slack / 4);
    }

    SECTION("a service with one priority is left to the local decision")
    {
        auto const now = run(level, report_of(0, 0, 20, 9, 5), start, 2s);
        CHECK(level.value(now) == 0);
    }
}

// Guards against old reports that are taken for new ones after a reordering or
// a restart, and against reports of instances that are gone.
TEST_CASE("the admission level uses the last report of each instance",
          "[limits][admission-level]")
{
    admission_level level;
    auto const idle = report_of(1, 0, 1, 0, 2);
    level.record(1, 5, 2, idle, start);
    level.record(1, 5, 1, overload, start);
    level.update(idle, start);
    CHECK(level.value(start) == 0);
    level.record(1, 6, 1, overload, start + 100ms);
    level.update(idle, start + 100ms);
    CHECK(level.value(start + 100ms) > 0);
    CHECK(level.sources(start + 100ms) == 1);
    CHECK(level.sources(start + 2s) == 0);

    SECTION("the number of instances that are kept is bounded")
    {
        for (std::uint32_t source = 0; source < 500; ++source)
            level.record(source, 1, 1, overload, start + 200ms);
        CHECK(level.sources(start + 200ms) == 64);
    }
}

// Guards against a level that inverts the priorities, whatever reports arrive,
// are lost or are late.
TEST_CASE("no priority is refused while a lower one is admitted",
          "[limits][admission-level]")
{
    rc::prop(
        "of any reports",
        []
        {
            admission_level level;
            auto now = start;
            auto const steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step)
            {
                auto const amount = []
                {
                    return static_cast<float>(*rc::gen::inRange(0, 40));
                };
                auto const sources = *rc::gen::inRange(0, 4);
                for (int i = 0; i < sources; ++i)
                    level.record(
                        static_cast<std::uint32_t>(*rc::gen::inRange(0, 9)),
                        static_cast<core::incarnation>(*rc::gen::inRange(1, 3)),
                        static_cast<std::uint32_t>(step),
                        report_of(
                            amount(), amount(), amount(), amount(), amount()),
                        now);
                level.update(
                    report_of(amount(), amount(), amount(), amount(), amount()),
                    now);
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 700));
                auto const slack =
                    std::chrono::milliseconds(*rc::gen::inRange(-500, 2000));
                auto low = level;
                RC_ASSERT(refused_part(level, priority::high, slack, now) == 0);
                if (refused_part(level, priority::normal, slack, now) > 0)
                    RC_ASSERT(refused_part(low, priority::low, slack, now) ==
                              1);
                RC_ASSERT(level.value(now) <= 2);
            }
        });
}

// Guards against messages that never end, because each instance reports a
// shortage only since others do, and against messages without need.
TEST_CASE("the room is reported while it is short somewhere",
          "[limits][admission-level]")
{
    constexpr std::uint32_t service = 7;
    admission_levels here(1);
    admission_levels there(1);
    here.observe(service, overload, false, start);
    there.observe(service, overload, false, start);
    CHECK(here.make_update(start).empty());
    here.observe(service, overload, true, start);
    auto const news = here.make_update(start);
    REQUIRE(news.size() == 1);
    there.apply(1, 1, 1, news, start);
    // The other one has room, and its report is needed.
    auto const answer = there.make_update(start);
    REQUIRE(answer.size() == 1);
    CHECK(answer.front().is_short == 0);
    here.apply(2, 1, 1, answer, start);
    for (auto now = start; now < start + 500ms; now += 100ms)
        here.update(now);
    CHECK(here.value(service, start + 500ms) > 0);

    SECTION("the reports end with the shortage")
    {
        std::uint32_t sequence = 2;
        for (auto now = start; now < start + 3s; now += 100ms, ++sequence)
        {
            here.observe(service, overload, false, now);
            there.observe(service, overload, false, now);
            there.apply(1, 1, sequence, here.make_update(now), now);
            here.apply(2, 1, sequence, there.make_update(now), now);
        }
        CHECK(here.make_update(start + 3s).empty());
        CHECK(there.make_update(start + 3s).empty());
    }

    SECTION("services without requests and above the bound have no level")
    {
        here.observe(service + 1, overload, true, start);
        CHECK(here.make_update(start).size() == 1);
        here.update(start + 2s);
        CHECK(here.value(service, start + 2s) == 0);
    }
}
