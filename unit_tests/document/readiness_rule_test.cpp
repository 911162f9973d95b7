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

// Guards against an offset that is activated too early or too late, or that is
// deactivated.
TEST_CASE("an offset is activated once a quorum has reduced it")
{
    activation_rule rule({1, 1000ms});
    rule.update({}, at(0ms));
    CHECK_FALSE(rule.active());
    rule.offset_reduced(5, at(0ms));

    SECTION("all members but one have reduced it")
    {
        rule.update({5, 4, 3}, at(1ms));
        CHECK(rule.active() == 4);
        rule.update({5, 5, {}}, at(2ms));
        CHECK(rule.active() == 5);

        SECTION("and stays active when members with lower offsets appear")
        {
            rule.offset_reduced(7, at(3ms));
            rule.update({1, 1, 1, 1}, at(4ms));
            CHECK(rule.active() == 5);
        }
    }

    SECTION("the maximum wait has passed without reports from other members")
    {
        CHECK(rule.next_deadline() == at(1000ms));
        rule.offset_reduced(6, at(10ms));
        rule.update({{}, {}, {}}, at(999ms));
        CHECK_FALSE(rule.active());
        rule.update({{}, {}, {}}, at(1000ms));
        CHECK(rule.active() == 5);
        rule.update({{}, {}, {}}, at(1010ms));
        CHECK(rule.active() == 6);
    }

    SECTION("members that are ahead do not activate offsets not reduced here")
    {
        rule.update({9, 9, 9}, at(1ms));
        CHECK(rule.active() == 5);
    }
}

// Guards against a new instance that serves with an older document than the one
// in force.
TEST_CASE("a new instance becomes ready")
{
    readiness_rule rule({1});
    CHECK_FALSE(rule.required_next());

    SECTION("after reading the log to its head")
    {
        rule.update_log_head(8);
        CHECK_FALSE(rule.may_serve(7));
        CHECK(rule.may_serve(8));
    }

    SECTION("without the log, after reports from enough ready members and from "
            "half of all members")
    {
        for (std::size_t i = 0; i < 5; ++i)
            rule.add_member(name(i));
        rule.record_report(name(0), true, 3);
        rule.record_report(name(1), false, 9);
        rule.record_report(name(2), false, 4);
        CHECK_FALSE(rule.required_next());
        rule.record_report(name(3), true, 5);
        CHECK(rule.required_next() == 9);

        SECTION("but not if more members were added meanwhile")
        {
            for (std::size_t i = 5; i < 9; ++i)
                rule.add_member(name(i));
            CHECK_FALSE(rule.required_next());
        }
    }

    // Assumptions: (1) each activating member counts the ready members of the
    // new instance as live, (2) a member has reduced the offset that it is
    // known to have reduced, and (3) either a quorum activates the offset, or
    // the activating member reported to the new instance. The reports are newer
    // than the activation. Without (3), a member that is partitioned from all
    // others activates an offset after 1 s that no other member can report.
    rc::prop("a new instance is never behind the active offset of a member",
             []
             {
                 auto const slack = *rc::gen::inRange(0U, 3U);
                 auto const offsets = *rc::gen::nonEmpty(
                     rc::gen::container<std::vector<core::log_offset>>(
                         rc::gen::inRange<core::log_offset>(0, 50)));
                 auto const reported = *rc::gen::container<std::vector<bool>>(
                     offsets.size(), rc::gen::arbitrary<bool>());
                 auto const ready = *rc::gen::container<std::vector<bool>>(
                     offsets.size(), rc::gen::arbitrary<bool>());
                 auto const now =
                     at(std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
                 readiness_rule readiness({slack});
                 for (std::size_t i = 0; i < offsets.size(); ++i)
                 {
                     readiness.add_member(name(i));
                     if (reported[i])
                         readiness.record_report(
                             name(i), ready[i], offsets[i] + 1);
                 }
                 auto const required = readiness.required_next();
                 for (std::size_t i = 0; i < offsets.size(); ++i)
                 {
                     std::vector<std::optional<core::log_offset>> others;
                     for (std::size_t k = 0; k < offsets.size(); ++k)
                         if (k != i)
                             others.emplace_back(*rc::gen::arbitrary<bool>()
                                                     ? std::optional(offsets[k])
                                                     : std::nullopt);
                     activation_rule member({slack, 1000ms});
                     member.offset_reduced(offsets[i], at(0ms));
                     // Skips cases that violate assumption (3).
                     bool const activates_by_time = now >= at(1000ms);
                     if (activates_by_time && !reported[i])
                         continue;
                     member.update(others, now);
                     if (required && member.active())
                         RC_ASSERT(*required > *member.active());
                 }
                 RC_CLASSIFY(required.has_value(), "may serve");
             });
}

// Guards against an instance that claims a fresher state than it has.
TEST_CASE("freshness counts from the time of the request, not of the response")
{
    freshness state;
    CHECK_FALSE(state.age(at(0ms)));

    SECTION("a read counts once its records are reduced")
    {
        state.record_log_read(at(100ms), 5);
        CHECK_FALSE(state.as_of());
        state.update_reduced(4);
        CHECK_FALSE(state.as_of());
        state.update_reduced(5);
        CHECK(state.as_of() == at(100ms));
        CHECK(state.is_younger_than(5s, at(5099ms)));
        CHECK_FALSE(state.is_younger_than(5s, at(5100ms)));

        SECTION("and a delayed response changes nothing")
        {
            state.record_log_read(at(50ms), 5);
            state.record_peer_response(at(200ms), 150ms, 5);
            CHECK(state.as_of() == at(100ms));
        }
    }

    SECTION("the age reported by a peer is subtracted")
    {
        state.update_reduced(5);
        state.record_peer_response(at(300ms), 120ms, 5);
        CHECK(state.as_of() == at(180ms));
        state.record_peer_response(at(400ms), -1s, 5);
        CHECK(state.as_of() == at(400ms));
    }

    rc::prop("the state contains all records up to the time of freshness",
             []
             {
                 // The log grows by one record every 10 ms.
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
                         item.record_log_read(sent, head(sent));
                     else
                         item.update_reduced(
                             reduced = std::max<core::log_offset>(
                                 reduced, *rc::gen::inRange(0, 1000)));
                     if (item.as_of())
                         RC_ASSERT(reduced >= head(*item.as_of()));
                 }
             });
}

// Guards against a fleet that overloads the log, in normal operation or after
// an outage.
TEST_CASE("appends are rate-limited")
{
    append_policy policy(
        {100, 100, 2, 200ms, 1000ms},
        []
        {
            return 0.5;
        },
        at(0ms));
    CHECK(policy.try_acquire(at(0ms)));
    CHECK(policy.try_acquire(at(0ms)));
    CHECK_FALSE(policy.try_acquire(at(0ms)));

    SECTION("the instance's share of the fleet's rate is one append per second")
    {
        CHECK_FALSE(policy.try_acquire(at(999ms)));
        CHECK(policy.try_acquire(policy.next_attempt(at(999ms))));
        CHECK(policy.next_attempt(at(1001ms)) >= at(2000ms));
    }

    SECTION(
        "failures double the backoff up to a bound, and a success resets it")
    {
        policy.record_failure(at(10000ms));
        CHECK_FALSE(policy.try_acquire(at(10099ms)));
        CHECK(policy.next_attempt(at(10000ms)) == at(10100ms));
        policy.record_failure(at(10100ms));
        CHECK(policy.next_attempt(at(10100ms)) == at(10300ms));
        for (int i = 0; i < 40; ++i)
            policy.record_failure(at(10300ms));
        CHECK(policy.next_attempt(at(10300ms)) == at(10800ms));
        policy.record_success();
        policy.record_failure(at(10800ms));
        CHECK(policy.next_attempt(at(10800ms)) == at(10900ms));
    }
}
