#include <kumquatloom/health/health_estimate_table.hpp>

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

standing_decision decision_of(health_estimate_table& table,
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

bool is_avoided(health_estimate_table& table,
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
    health_estimate_table table({}, 0.4);
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
        table.merge(sick, health_estimate_settings{}.broken, start);
        CHECK(is_avoided(table, sick, start));
    }
}

// Guards against an upstream that is avoided for ever, and against trials that
// every instance makes at the same time.
TEST_CASE("an avoided upstream comes back", "[health]")
{
    health_estimate_table table({}, 0.4);
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

    SECTION("whose trials the observers make in turn")
    {
        health_estimate_settings const settings;
        health_estimate_table third({}, 0.4);
        third.track(ten_upstreams(), start);
        third.assign_observer_index(2);
        third.record(result(attempt_result::cut_short), start);
        auto const turn =
            start + settings.first_trial + 2 * settings.trial_turn;
        CHECK_FALSE(decision_of(third, sick, turn - 1ms).trial);
        CHECK(decision_of(third, sick, turn).trial);

        SECTION("a failed one puts off the next, whoever made it")
        {
            third.merge(sick, settings.broken, turn);
            auto const next =
                turn + settings.trial_interval + 2 * settings.trial_turn;
            CHECK_FALSE(decision_of(third, sick, next - 1ms).trial);
            CHECK(decision_of(third, sick, next).trial);
        }

        SECTION("one that went well is followed by another at once")
        {
            third.merge(sick, settings.success, turn);
            auto const next = turn + 2 * settings.trial_turn;
            CHECK(decision_of(third, sick, next).trial);
        }

        SECTION("one that nobody made is still asked for")
        {
            CHECK(decision_of(third, sick, turn + 1s).trial);
        }
    }

    SECTION("and never waits longer for a trial than the platform allows")
    {
        // The last of the observers of a large failure domain.
        constexpr std::size_t observers = 32;
        health_estimate_table last({}, 0.4);
        last.track(ten_upstreams(), start);
        last.assign_observer_index(observers - 1);
        last.record(result(attempt_result::cut_short), start);
        last.record(result(attempt_result::cut_short), start + 100ms);
        CHECK(decision_of(last, sick, start + 100ms + 2s).trial);
    }
}

// Guards against instances that restart and send work to every sick upstream
// once more.
TEST_CASE("a new observer takes over what the others believe", "[health]")
{
    health_estimate_table old({}, 0.4);
    health_estimate_table fresh({}, 0.4);
    old.track(ten_upstreams(), start);
    fresh.track(ten_upstreams(), start);
    old.record(result(attempt_result::cut_short), start);
    auto const avoided_log_odds = old.avoided_log_odds(sick, start + 1s);
    REQUIRE(avoided_log_odds);
    CHECK_FALSE(old.avoided_log_odds(core::upstream_id("well-1"), start + 1s));
    fresh.adopt(sick, *avoided_log_odds, start + 1s);

    SECTION("and avoids the same upstreams for the same time")
    {
        CHECK(is_avoided(fresh, sick, start + 1s));
        for (auto now = start + 1s; now < start + 20s; now += 500ms)
            CHECK(is_avoided(fresh, sick, now) == is_avoided(old, sick, now));
    }

    SECTION("once, however many tell it")
    {
        for (int i = 0; i < 20; ++i)
            fresh.adopt(sick, *avoided_log_odds, start + 1s);
        CHECK(fresh.avoided_log_odds(sick, start + 1s) == avoided_log_odds);
    }

    SECTION("but not against better knowledge")
    {
        for (int i = 0; i < 5; ++i)
            fresh.record(result(attempt_result::success), start + 2s);
        REQUIRE_FALSE(is_avoided(fresh, sick, start + 2s));
        fresh.adopt(sick, 0, start + 2s);
        CHECK_FALSE(is_avoided(fresh, sick, start + 2s));
    }

    SECTION("and leaves the first trial to them")
    {
        CHECK_FALSE(decision_of(fresh, sick, start + 2s).trial);
        CHECK(decision_of(fresh, sick, start + 3s).trial);
    }
}

// Guards against a service that loses most of its capacity to avoidance.
TEST_CASE("a part of the upstreams is never avoided", "[health]")
{
    health_estimate_table table({}, 0.7);
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
