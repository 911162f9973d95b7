#include <kumquatloom/health/health_estimate_table.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::health;
using namespace std::chrono_literals;

core::time_point const start(1000s);
core::upstream_id const unhealthy("unhealthy");

std::vector<core::upstream_id> ten_upstreams()
{
    std::vector<core::upstream_id> ids{unhealthy};
    for (int i = 1; i < 10; ++i)
        ids.emplace_back("healthy-" + std::to_string(i));
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
                      core::upstream_id const& id = unhealthy)
{
    return {id, kind, latency, 1s};
}

} // namespace

// Guards against upstreams with gray failures that keep receiving requests, and
// against the avoidance of healthy upstreams after a single error.
TEST_CASE("results of requests decide which upstreams are avoided", "[health]")
{
    health_estimate_table table({}, 0.4);
    table.track(ten_upstreams(), start);

    SECTION("one reset is sufficient, even after many successes")
    {
        for (int i = 0; i < 100; ++i)
            table.record(result(attempt_result::success), start);
        REQUIRE_FALSE(is_avoided(table, unhealthy, start));
        table.record(result(attempt_result::cut_short), start);
        CHECK(is_avoided(table, unhealthy, start));
    }

    SECTION("a single error is not sufficient, two within a short time are")
    {
        table.record(result(attempt_result::upstream_error), start);
        CHECK_FALSE(is_avoided(table, unhealthy, start));
        table.record(result(attempt_result::upstream_error), start + 100ms);
        CHECK(is_avoided(table, unhealthy, start + 100ms));
    }

    SECTION("refusals and cancellations are no evidence")
    {
        CHECK(table.record(result(attempt_result::refused), start) == 0);
        CHECK(table.record(result(attempt_result::cancelled), start) == 0);
        CHECK_FALSE(is_avoided(table, unhealthy, start));
    }

    SECTION("responses that take many times the usual latency count")
    {
        for (int i = 0; i < 20; ++i)
            table.record(result(attempt_result::success, 100ms), start);
        core::upstream_id const healthy("healthy-1");
        double sum = 0;
        for (int i = 0; i < 20; ++i)
        {
            table.record(result(attempt_result::success, 100ms, healthy),
                         start);
            sum += table.record(result(attempt_result::success, 2s), start);
            for (int j = 0; j < 20; ++j)
                table.record(result(attempt_result::success, 100ms, healthy),
                             start);
        }
        CHECK(sum > 0);
    }

    SECTION("evidence of a neighbour counts as much as local evidence")
    {
        table.merge(unhealthy,
                    health_estimate_settings{}.broken_response_weight,
                    start);
        CHECK(is_avoided(table, unhealthy, start));
    }
}

// Guards against an upstream that is avoided for ever, and against trial
// requests that all instances send at the same time.
TEST_CASE("an avoided upstream returns to service", "[health]")
{
    health_estimate_table table({}, 0.4);
    table.track(ten_upstreams(), start);
    table.record(result(attempt_result::cut_short), start);
    REQUIRE(is_avoided(table, unhealthy, start));

    SECTION("after successful trial requests")
    {
        auto const later = start + 2s;
        table.record(result(attempt_result::success), later);
        table.record(result(attempt_result::success), later);
        table.record(result(attempt_result::success), later);
        CHECK_FALSE(is_avoided(table, unhealthy, later));
    }

    SECTION("after about the duration of a gray failure without any result")
    {
        CHECK(is_avoided(table, unhealthy, start + 3s));
        CHECK_FALSE(is_avoided(table, unhealthy, start + 15s));
    }

    SECTION("observers send trial requests one after the other")
    {
        health_estimate_settings const settings;
        health_estimate_table third({}, 0.4);
        third.track(ten_upstreams(), start);
        third.assign_observers({2, 3});
        third.record(result(attempt_result::cut_short), start);
        auto const due =
            start + settings.first_trial_delay + 2 * settings.trial_stagger;
        CHECK_FALSE(decision_of(third, unhealthy, due - 1ms).trial);
        CHECK(decision_of(third, unhealthy, due).trial);

        SECTION("a failed trial of any observer postpones the next one")
        {
            third.merge(unhealthy, settings.broken_response_weight, due);
            auto const next =
                due + settings.trial_interval + 2 * settings.trial_stagger;
            CHECK_FALSE(decision_of(third, unhealthy, next - 1ms).trial);
            CHECK(decision_of(third, unhealthy, next).trial);
        }

        SECTION("a successful trial is followed by another one at once")
        {
            third.merge(unhealthy, settings.success_weight, due);
            auto const next = due + 2 * settings.trial_stagger;
            CHECK(decision_of(third, unhealthy, next).trial);
        }

        SECTION("a trial that no observer has sent remains due")
        {
            CHECK(decision_of(third, unhealthy, due + 1s).trial);
        }
    }

    SECTION("with turns no observer of a large domain waits for long")
    {
        // Guards against trials that begin before the news of the previous
        // one, and against recovered upstreams that wait for 2 s.
        auto const settings = health_estimate_settings::for_failure_episodes();
        std::set<core::time_point> turns;
        for (std::size_t index = 0; index < 24; ++index)
        {
            health_estimate_table observer(settings, 0.4);
            observer.track(ten_upstreams(), start);
            observer.assign_observers({index, 24});
            observer.record(result(attempt_result::cut_short), start);
            auto due = start;
            while (!decision_of(observer, unhealthy, due).trial)
                due += 1ms;
            turns.insert(due);
        }
        CHECK(turns.size() == settings.trial_turns);
        CHECK(*turns.begin() == start + settings.first_trial_delay);
        CHECK(*turns.rbegin() < start + 2s);
    }

    SECTION("the next trial is never later than the platform allows")
    {
        // The last observer of a large failure domain.
        constexpr std::size_t observers = 32;
        health_estimate_table last({}, 0.4);
        last.track(ten_upstreams(), start);
        last.assign_observers({observers - 1, observers});
        last.record(result(attempt_result::cut_short), start);
        last.record(result(attempt_result::cut_short), start + 100ms);
        CHECK(decision_of(last, unhealthy, start + 100ms + 2s).trial);
    }
}

// Guards against instances that send requests to every unhealthy upstream again
// after a restart.
TEST_CASE("a new observer adopts the estimates of its neighbours", "[health]")
{
    health_estimate_table old({}, 0.4);
    health_estimate_table fresh({}, 0.4);
    old.track(ten_upstreams(), start);
    fresh.track(ten_upstreams(), start);
    old.record(result(attempt_result::cut_short), start);
    auto const avoided_log_odds = old.avoided_log_odds(unhealthy, start + 1s);
    REQUIRE(avoided_log_odds);
    CHECK_FALSE(
        old.avoided_log_odds(core::upstream_id("healthy-1"), start + 1s));
    fresh.adopt(unhealthy, *avoided_log_odds, start + 1s);

    SECTION("it avoids the same upstreams for the same time")
    {
        CHECK(is_avoided(fresh, unhealthy, start + 1s));
        for (auto now = start + 1s; now < start + 20s; now += 500ms)
            CHECK(is_avoided(fresh, unhealthy, now) ==
                  is_avoided(old, unhealthy, now));
    }

    SECTION("repeated reports of an estimate do not add up")
    {
        for (int i = 0; i < 20; ++i)
            fresh.adopt(unhealthy, *avoided_log_odds, start + 1s);
        CHECK(fresh.avoided_log_odds(unhealthy, start + 1s) ==
              avoided_log_odds);
    }

    SECTION("an estimate too low for avoidance is not adopted")
    {
        for (int i = 0; i < 5; ++i)
            fresh.record(result(attempt_result::success), start + 2s);
        REQUIRE_FALSE(is_avoided(fresh, unhealthy, start + 2s));
        fresh.adopt(unhealthy, 0, start + 2s);
        CHECK_FALSE(is_avoided(fresh, unhealthy, start + 2s));
    }

    SECTION("it leaves the first trial request to its neighbours")
    {
        CHECK_FALSE(decision_of(fresh, unhealthy, start + 2s).trial);
        CHECK(decision_of(fresh, unhealthy, start + 3s).trial);
    }
}

// Guards against a service that loses most of its capacity to avoidance.
TEST_CASE("a fraction of the upstreams is never avoided", "[health]")
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
    CHECK(table.avoided_count() == 3);
}
