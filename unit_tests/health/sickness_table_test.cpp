#include <kumquatloom/health/sickness_table.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::health;
using namespace std::chrono_literals;

core::time_point const start(1000s);
core::upstream_id const sick("sick");

std::vector<core::upstream_id> ten_upstreams()
{
    std::vector<core::upstream_id> ids{sick};
    for (int i = 1; i < 10; ++i)
        ids.emplace_back("well-" + std::to_string(i));
    return ids;
}

standing_decision decision_of(sickness_table& table,
                              core::upstream_id const& id,
                              core::time_point now)
{
    auto const decisions = table.decide(now);
    auto const found = std::find_if(decisions.begin(),
                                    decisions.end(),
                                    [&](standing_decision const& item)
                                    {
                                        return item.upstream == id;
                                    });
    REQUIRE(found != decisions.end());
    return *found;
}

bool is_avoided(sickness_table& table,
                core::upstream_id const& id,
                core::time_point now)
{
    return decision_of(table, id, now).standing == upstream_standing::avoided;
}

attempt_report result(attempt_result kind,
                      core::duration latency = 100ms,
                      core::upstream_id const& id = sick)
{
    return {id, kind, latency, 1s};
}

} // namespace

// Guards against gray upstreams that keep getting work, and against healthy
// ones that lose it over a single error.
TEST_CASE("results of requests decide which upstreams are avoided", "[health]")
{
    sickness_table table({}, 0.4);
    table.track(ten_upstreams(), start);

    SECTION("one reset is enough, even after a long good record")
    {
        for (int i = 0; i < 100; ++i)
            table.record(result(attempt_result::success), start);
        REQUIRE_FALSE(is_avoided(table, sick, start));
        table.record(result(attempt_result::cut_short), start);
        CHECK(is_avoided(table, sick, start));
    }

    SECTION("a single error is not, two in short order are")
    {
        table.record(result(attempt_result::upstream_error), start);
        CHECK_FALSE(is_avoided(table, sick, start));
        table.record(result(attempt_result::upstream_error), start + 100ms);
        CHECK(is_avoided(table, sick, start + 100ms));
    }

    SECTION("refusals and cancellations say nothing")
    {
        CHECK(table.record(result(attempt_result::refused), start) == 0);
        CHECK(table.record(result(attempt_result::cancelled), start) == 0);
        CHECK_FALSE(is_avoided(table, sick, start));
    }

    SECTION("answers that take many times the usual time count")
    {
        for (int i = 0; i < 20; ++i)
            table.record(result(attempt_result::success, 100ms), start);
        core::upstream_id const well("well-1");
        double sum = 0;
        for (int i = 0; i < 20; ++i)
        {
            table.record(result(attempt_result::success, 100ms, well), start);
            sum += table.record(result(attempt_result::success, 2s), start);
            for (int other = 0; other < 20; ++other)
                table.record(result(attempt_result::success, 100ms, well),
                             start);
        }
        CHECK(sum > 0);
    }

    SECTION("a neighbour's evidence counts as much as the own")
    {
        table.merge(sick, sickness_settings{}.broken, start);
        CHECK(is_avoided(table, sick, start));
    }
}

// Guards against an upstream that is avoided for ever, and against trials that
// every instance makes at the same time.
TEST_CASE("an avoided upstream comes back", "[health]")
{
    sickness_table table({}, 0.4);
    table.track(ten_upstreams(), start);
    table.record(result(attempt_result::cut_short), start);
    REQUIRE(is_avoided(table, sick, start));

    SECTION("by successful trials")
    {
        auto const later = start + 2s;
        table.record(result(attempt_result::success), later);
        table.record(result(attempt_result::success), later);
        table.record(result(attempt_result::success), later);
        CHECK_FALSE(is_avoided(table, sick, later));
    }

    SECTION("by time alone, after about the length of a gray spell")
    {
        CHECK(is_avoided(table, sick, start + 3s));
        CHECK_FALSE(is_avoided(table, sick, start + 15s));
    }

    SECTION("and its first trial waits for the turn of the observer")
    {
        sickness_table third({}, 0.4);
        third.track(ten_upstreams(), start);
        third.observe_as(2, 10);
        third.record(result(attempt_result::cut_short), start);
        // Two others have their turns before.
        auto const turn = 3 * sickness_settings{}.trial_interval;
        CHECK_FALSE(decision_of(third, sick, start + turn - 100ms).trial);
        CHECK(decision_of(third, sick, start + turn + 100ms).trial);
        // And all of them before it has the next one.
        CHECK_FALSE(decision_of(third, sick, start + turn + 200ms).trial);
    }
}

// Guards against a service that loses most of its capacity to avoidance.
TEST_CASE("a part of the upstreams is never avoided", "[health]")
{
    sickness_table table({}, 0.7);
    table.track(ten_upstreams(), start);
    for (auto const& id : ten_upstreams())
        table.record(result(attempt_result::cut_short, 100ms, id), start);
    auto const decisions = table.decide(start);
    CHECK(std::count_if(decisions.begin(),
                        decisions.end(),
                        [](standing_decision const& item)
                        {
                            return item.standing == upstream_standing::avoided;
                        }) == 3);
    CHECK(table.avoided() == 3);
}
