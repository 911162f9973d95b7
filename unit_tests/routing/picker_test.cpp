#include <kumquatloom/routing/picker.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;
using health::upstream_standing;
using routing::pick_tier;

core::time_point const start{1h};
routing::locality const here{core::failure_domain("near"),
                             core::region("home")};

routing::listed_upstream
listed(std::string const& id, char const* domain, char const* region)
{
    return {{core::upstream_id(id),
             core::service_name("storefront"),
             "127.0.0.1",
             80,
             core::failure_domain(domain),
             core::region(region),
             2},
            false};
}

std::vector<routing::listed_upstream> upstreams_at_three_distances()
{
    return {listed("far", "abroad", "away"),
            listed("middle", "next", "home"),
            listed("close", "near", "home")};
}

void publish_standing(routing::picker& picker,
                      char const* id,
                      upstream_standing standing,
                      core::time_point lease_expiry)
{
    picker.table()->publish({{core::upstream_id(id), standing, 1, 1, false}},
                            lease_expiry);
}

std::string
picked_id(core::result<routing::pick, routing::pick_error> const& pick)
{
    return pick ? pick.value().object->endpoint().id.value()
                : std::string(to_string(pick.error()));
}

} // namespace

// Guards against requests that cause paid traffic between regions without need,
// or reach an upstream that must not receive them.
TEST_CASE("an instance picks the nearest upstream that may receive the request")
{
    routing::picker picker;
    picker.publish(routing::upstream_table::build(
        nullptr, upstreams_at_three_distances(), here, start));

    SECTION(
        "the own domain fills up first, then the own region, then the other")
    {
        std::string order;
        for (std::uint64_t i = 0; i < 7; ++i)
            order += picked_id(picker.choose(
                         {{}, routing::trial_permission::none, i}, start)) +
                     ' ';
        CHECK(order == "close close middle middle far far no_free_slot ");
        CHECK(picker.picks_by_tier().value(pick_tier::other_region) == 2);
    }

    SECTION("an upstream that reports full slots is skipped for a short time")
    {
        auto const close = picker.table()->find(core::upstream_id("close"));
        close->report_load(2, start);
        CHECK(picked_id(picker.choose({}, start)) == "middle");
        CHECK(picked_id(picker.choose({}, start + 1s)) == "close");
    }

    SECTION("a retry goes to another upstream")
    {
        auto const first = picker.choose({}, start);
        std::vector tried{first.value().object};
        CHECK(
            picked_id(picker.choose({tried, routing::trial_permission::due, 1},
                                    start)) == "middle");
    }

    SECTION("an avoided upstream is reserve capacity, an ejected one is not")
    {
        publish_standing(picker, "close", upstream_standing::avoided, start);
        publish_standing(
            picker, "middle", upstream_standing::ejected, start + 1s);
        std::string order;
        for (std::uint64_t i = 0; i < 5; ++i)
            order += picked_id(picker.choose(
                         {{}, routing::trial_permission::none, i}, start)) +
                     ' ';
        CHECK(order == "far far close close no_free_slot ");

        SECTION("the lease of the ejection expires while the control thread is "
                "paused")
        {
            CHECK(picked_id(picker.choose({}, start + 2s)) == "middle");
        }
    }

    SECTION("one repeatable request goes to an avoided upstream as a trial")
    {
        picker.table()->publish({{core::upstream_id("close"),
                                  upstream_standing::avoided,
                                  1,
                                  1,
                                  true}},
                                start);
        CHECK(picked_id(picker.choose({{}, routing::trial_permission::none, 1},
                                      start)) == "middle");
        CHECK(picked_id(picker.choose({{}, routing::trial_permission::due, 2},
                                      start)) == "close");
        CHECK(picked_id(picker.choose({{}, routing::trial_permission::due, 3},
                                      start)) == "middle");
        CHECK(picker.picks_by_tier().value(pick_tier::trial) == 1);
    }
}

// Guards against a cold upstream that receives a full load, and against an
// instance that treats all its upstreams as cold when it starts.
TEST_CASE("a new upstream receives a rising share")
{
    routing::picker picker;
    std::vector list{listed("old", "near", "home")};
    picker.publish(routing::upstream_table::build(nullptr, list, here, start));
    list.push_back(listed("new", "near", "home"));
    picker.publish(
        routing::upstream_table::build(picker.table(), list, here, start));
    auto const share = [&](core::time_point now)
    {
        int count = 0;
        for (std::uint64_t i = 0; i < 1000; ++i)
        {
            auto const pick =
                picker.choose({{}, routing::trial_permission::none, i}, now)
                    .value();
            count += pick.object->endpoint().id.value() == "new" ? 1 : 0;
            picker.finish_attempt(pick,
                                  {pick.object->endpoint().id,
                                   health::attempt_result::success,
                                   10ms,
                                   1s},
                                  now);
        }
        return count;
    };
    int const at_first = share(start);
    CHECK(at_first < 250);
    CHECK(share(start + 5s) > at_first);
    CHECK(share(start + 10s) > 350);
}

// Guards against attempts that still wait for an upstream which the list has
// dropped.
TEST_CASE("an upstream that the list drops is withdrawn from its attempts",
          "[routing]")
{
    routing::picker picker;
    auto const publish = [&](std::vector<routing::listed_upstream> const& list)
    {
        picker.publish(
            routing::upstream_table::build(picker.table(), list, here, start));
    };
    auto const only = listed("close", "near", "home");
    publish({only});
    auto const before = picker.table()->find(only.endpoint.id);
    REQUIRE(before);

    SECTION("one that stays keeps its state")
    {
        publish({only, listed("middle", "next", "home")});
        CHECK(picker.table()->find(only.endpoint.id) == before);
        CHECK_FALSE(before->is_leaving());
    }

    SECTION("one that is dropped gets nothing new")
    {
        publish({});
        CHECK(before->is_leaving());

        SECTION("but may return, because its entry may only have lapsed")
        {
            publish({only});
            CHECK(picked_id(picker.choose({}, start)) == "close");
        }
    }

    SECTION("one that restarts under the same id is another upstream")
    {
        auto restarted = only;
        restarted.endpoint.incarnation = 2;
        publish({restarted});
        CHECK(before->is_leaving());
        CHECK(picked_id(picker.choose({}, start)) == "close");
    }
}

// Guards against requests to a leaving upstream after the list lags, drops it,
// or shows it as live again.
TEST_CASE("a leaving upstream is never picked again")
{
    rc::prop("for any order of notices, lists and decisions",
             []
             {
                 routing::picker picker;
                 core::time_point now = start;
                 std::set<std::string> leaving_ids;
                 for (int step = 0; step < 60; ++step)
                 {
                     now += 100ms;
                     auto list = upstreams_at_three_distances();
                     // The list may lag and may miss any upstream.
                     for (auto& item : list)
                     {
                         item.leaving = *rc::gen::weightedElement<bool>(
                             {{9, false}, {1, true}});
                         if (item.leaving)
                             leaving_ids.insert(item.endpoint.id.value());
                     }
                     std::erase_if(list,
                                   [&](auto const& item)
                                   {
                                       return !item.leaving &&
                                              *rc::gen::inRange(0, 4) == 0;
                                   });
                     picker.publish(routing::upstream_table::build(
                         picker.table(), list, here, now));
                     // A response header may announce that an upstream is
                     // leaving.
                     auto const announced =
                         *rc::gen::inRange<std::size_t>(0, 24);
                     if (announced < list.size())
                     {
                         auto const& id = list[announced].endpoint.id;
                         picker.table()->find(id)->mark_leaving();
                         leaving_ids.insert(id.value());
                     }
                     for (auto const& item : list)
                         publish_standing(
                             picker,
                             item.endpoint.id.value().c_str(),
                             *rc::gen::element(upstream_standing::normal,
                                               upstream_standing::avoided,
                                               upstream_standing::recovering),
                             now);
                     auto const pick =
                         picker.choose({{},
                                        routing::trial_permission::due,
                                        *rc::gen::arbitrary<std::uint64_t>()},
                                       now);
                     if (!pick)
                         continue;
                     RC_ASSERT(!leaving_ids.contains(picked_id(pick)));
                     pick.value().object->end_attempt();
                 }
             });
}

// Guards against many instances that choose the same distant upstream at once
// because they know its load late.
TEST_CASE("the known load of neighbours decides which upstream is picked")
{
    routing::picker picker(routing::balancing_policy::least_used);
    picker.publish(routing::upstream_table::build(
        nullptr, upstreams_at_three_distances(), here, start));
    auto const find = [&](char const* id)
    {
        return picker.table()->find(core::upstream_id(id));
    };

    SECTION("an upstream whose slots the neighbours use is full")
    {
        find("close")->update_remote_load(2);
        CHECK(picked_id(picker.choose({}, start)) == "middle");
    }

    SECTION("a distant upstream needs more free capacity than a near one")
    {
        find("close")->update_remote_load(1);
        CHECK(picked_id(picker.choose({}, start)) == "close");
        find("close")->update_remote_load(2);
        find("middle")->update_remote_load(1);
        find("far")->update_remote_load(1);
        CHECK(picked_id(picker.choose({}, start)) == "middle");
        find("middle")->update_remote_load(2);
        CHECK(picked_id(picker.choose({}, start)) == "far");
        find("far")->update_remote_load(2);
        CHECK(picked_id(picker.choose({}, start)) == "no_free_slot");
    }

    SECTION("the upstream with the lowest utilisation is picked")
    {
        auto list = upstreams_at_three_distances();
        list.push_back(listed("close too", "near", "home"));
        picker.publish(
            routing::upstream_table::build(nullptr, list, here, start));
        find("close")->update_remote_load(1);
        CHECK(picked_id(picker.choose({}, start)) == "close too");
    }

    SECTION(
        "an upstream of last resort is not used while another is not avoided")
    {
        picker.table()->publish({{core::upstream_id("close"),
                                  upstream_standing::avoided,
                                  5,
                                  1,
                                  false,
                                  true}},
                                start);
        find("middle")->update_remote_load(2);
        find("far")->update_remote_load(2);
        CHECK(picked_id(picker.choose({}, start)) == "no_free_slot");
    }
}
