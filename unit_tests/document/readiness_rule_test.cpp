#include <kumquatloom/document/activation_rule.hpp>
#include <kumquatloom/document/append_policy.hpp>
#include <kumquatloom/document/freshness.hpp>
#include <kumquatloom/document/readiness_rule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::document;
using namespace std::chrono_literals;

core::time_point at(std::chrono::milliseconds time)
{
    return core::time_point(time);
}

core::instance_id name(std::size_t number)
{
    return core::instance_id("entry-" + std::to_string(number));
}

} // namespace

// Guards against an offset that is acted on too early, too late, or given up.
TEST_CASE("an instance acts on an offset when its cell holds it")
{
    activation_rule rule({1, 1000ms});
    rule.update({}, at(0ms));
    CHECK_FALSE(rule.active());
    rule.learned(5, at(0ms));

    SECTION("all members but one hold it")
    {
        rule.update({5, 4, 3}, at(1ms));
        CHECK(rule.active() == 4);
        rule.update({5, 5, {}}, at(2ms));
        CHECK(rule.active() == 5);

        SECTION("and it stays active when members that hold less appear")
        {
            rule.learned(7, at(3ms));
            rule.update({1, 1, 1, 1}, at(4ms));
            CHECK(rule.active() == 5);
        }
    }

    SECTION("the time is over, although the others are silent")
    {
        CHECK(rule.next_deadline() == at(1000ms));
        rule.learned(6, at(10ms));
        rule.update({{}, {}, {}}, at(999ms));
        CHECK_FALSE(rule.active());
        rule.update({{}, {}, {}}, at(1000ms));
        CHECK(rule.active() == 5);
        rule.update({{}, {}, {}}, at(1010ms));
        CHECK(rule.active() == 6);
    }

    SECTION("members that are ahead do not activate what is not known here")
    {
        rule.update({9, 9, 9}, at(1ms));
        CHECK(rule.active() == 5);
    }
}

// Guards against a newcomer that serves with an older document than the one
// in force.
TEST_CASE("a new instance starts")
{
    start_rule rule({1});
    CHECK_FALSE(rule.required_next());

    SECTION("with the head of the log")
    {
        rule.read_log_head(8);
        CHECK_FALSE(rule.may_serve(7));
        CHECK(rule.may_serve(8));
    }

    SECTION("without the log, by enough sure members and half of all")
    {
        for (std::size_t i = 0; i < 5; ++i)
            rule.told_of(name(i));
        rule.heard_from(name(0), true, 3);
        rule.heard_from(name(1), false, 9);
        rule.heard_from(name(2), false, 4);
        CHECK_FALSE(rule.required_next());
        rule.heard_from(name(3), true, 5);
        CHECK(rule.required_next() == 9);

        SECTION("but not if it was told of more members meanwhile")
        {
            for (std::size_t i = 5; i < 9; ++i)
                rule.told_of(name(i));
            CHECK_FALSE(rule.required_next());
        }
    }

    // Assumptions: (1) the newcomer's sure members are among those that each
    // acting member counts as live, (2) what a member is known to hold it
    // holds, and (3) either the member acts because its cell holds the offset,
    // or the newcomer heard from that member. The answers are newer than the
    // activation. Without (3) a member that is cut off from all others acts
    // after 1 s on what no other member can tell.
    rc::prop("no newcomer is behind a member that acts",
             []
             {
                 auto const slack = *rc::gen::inRange(0U, 3U);
                 auto const held = *rc::gen::nonEmpty(
                     rc::gen::container<std::vector<core::log_offset>>(
                         rc::gen::inRange<core::log_offset>(0, 50)));
                 auto const heard = *rc::gen::container<std::vector<bool>>(
                     held.size(), rc::gen::arbitrary<bool>());
                 auto const sure = *rc::gen::container<std::vector<bool>>(
                     held.size(), rc::gen::arbitrary<bool>());
                 auto const now =
                     at(std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
                 start_rule start({slack});
                 for (std::size_t i = 0; i < held.size(); ++i)
                 {
                     start.told_of(name(i));
                     if (heard[i])
                         start.heard_from(name(i), sure[i], held[i] + 1);
                 }
                 auto const required = start.required_next();
                 for (std::size_t i = 0; i < held.size(); ++i)
                 {
                     std::vector<std::optional<core::log_offset>> others;
                     for (std::size_t k = 0; k < held.size(); ++k)
                         if (k != i)
                             others.emplace_back(*rc::gen::arbitrary<bool>()
                                                     ? std::optional(held[k])
                                                     : std::nullopt);
                     activation_rule member({slack, 1000ms});
                     member.learned(held[i], at(0ms));
                     // The third assumption.
                     bool const acts_by_time = now >= at(1000ms);
                     if (acts_by_time && !heard[i])
                         continue;
                     member.update(others, now);
                     if (required && member.active())
                         RC_ASSERT(*required > *member.active());
                 }
                 RC_CLASSIFY(required.has_value(), "served");
             });
}

// Guards against an instance that believes itself fresher than it is.
TEST_CASE("freshness is the time of a question, never of an answer")
{
    freshness state;
    CHECK_FALSE(state.age(at(0ms)));

    SECTION("a read counts once its records are reduced")
    {
        state.heard_from_log(at(100ms), 5);
        CHECK_FALSE(state.as_of());
        state.reduced(4);
        CHECK_FALSE(state.as_of());
        state.reduced(5);
        CHECK(state.as_of() == at(100ms));
        CHECK(state.is_within(5s, at(5099ms)));
        CHECK_FALSE(state.is_within(5s, at(5100ms)));

        SECTION("and a late answer changes nothing")
        {
            state.heard_from_log(at(50ms), 5);
            state.heard_from_peer(at(200ms), 150ms, 5);
            CHECK(state.as_of() == at(100ms));
        }
    }

    SECTION("the age that a peer states is taken off")
    {
        state.reduced(5);
        state.heard_from_peer(at(300ms), 120ms, 5);
        CHECK(state.as_of() == at(180ms));
        state.heard_from_peer(at(400ms), -1s, 5);
        CHECK(state.as_of() == at(400ms));
    }

    rc::prop("it is never younger than what was known at that time",
             []
             {
                 // The log grows by one record each 10 ms.
                 freshness item;
                 auto const head = [](core::time_point time)
                 {
                     return static_cast<core::log_offset>(
                         time.time_since_epoch() / 10ms);
                 };
                 core::log_offset reduced = 0;
                 auto const times = *rc::gen::container<std::vector<int>>(
                     rc::gen::inRange(0, 10000));
                 for (auto const time : times)
                 {
                     auto const sent = at(std::chrono::milliseconds(time));
                     if (*rc::gen::arbitrary<bool>())
                         item.heard_from_log(sent, head(sent));
                     else
                         item.reduced(reduced = std::max<core::log_offset>(
                                          reduced, *rc::gen::inRange(0, 1000)));
                     if (item.as_of())
                         RC_ASSERT(reduced >= head(*item.as_of()));
                 }
             });
}

// Guards against a fleet that floods the log, in normal times or after an
// outage.
TEST_CASE("an instance limits its appends")
{
    append_policy policy(
        {100, 100, 2, 200ms, 1000ms},
        []
        {
            return 0.5;
        },
        at(0ms));
    CHECK(policy.try_take(at(0ms)));
    CHECK(policy.try_take(at(0ms)));
    CHECK_FALSE(policy.try_take(at(0ms)));

    SECTION("its share of the rate is one append a second")
    {
        CHECK_FALSE(policy.try_take(at(999ms)));
        CHECK(policy.try_take(policy.next_attempt(at(999ms))));
        CHECK(policy.next_attempt(at(1001ms)) >= at(2000ms));
    }

    SECTION("failures double the wait up to a bound, and a success ends it")
    {
        policy.failed(at(10000ms));
        CHECK_FALSE(policy.try_take(at(10099ms)));
        CHECK(policy.next_attempt(at(10000ms)) == at(10100ms));
        policy.failed(at(10100ms));
        CHECK(policy.next_attempt(at(10100ms)) == at(10300ms));
        for (int i = 0; i < 40; ++i)
            policy.failed(at(10300ms));
        CHECK(policy.next_attempt(at(10300ms)) == at(10800ms));
        policy.succeeded();
        policy.failed(at(10800ms));
        CHECK(policy.next_attempt(at(10800ms)) == at(10900ms));
    }
}
