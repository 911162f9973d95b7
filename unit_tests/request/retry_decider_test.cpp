#include <kumquatloom/limits/priority.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/request/hedge_decider.hpp>
#include <kumquatloom/request/retry_decider.hpp>
#include <kumquatloom/request/ticket_decision.hpp>
#include <kumquatloom/request/ticket_keys.hpp>
#include <kumquatloom/request/ticket_state.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::request;
using namespace std::chrono_literals;

core::time_point const start(1h);

/// Deciders whose retry budget is large enough for every test.
struct decider_fixture
{
    retry_counters counters;
    limits::retry_budget budget{{0, 0, 1000}, start};
    retry_decider retry{{}, budget, counters};
    hedge_decider hedge{{}, budget, counters};
};

template <typename Enum>
void check_texts()
{
    std::set<std::string_view> texts;
    for (int i = 0; i < static_cast<int>(Enum::count); ++i)
    {
        CHECK_FALSE(to_string(static_cast<Enum>(i)).empty());
        CHECK(texts.insert(to_string(static_cast<Enum>(i))).second);
    }
}

attempt_state state_of(idempotency repeat)
{
    return attempt_state(repeat, deadline(start + 1s));
}

} // namespace

// Guards against empty metric labels, and against two values with one label.
TEST_CASE("each enumerator has its own metric label", "[request]")
{
    check_texts<response_verdict>();
    check_texts<ticket_state>();
    check_texts<ticket_action>();
    check_texts<ticket_validity>();
    check_texts<limits::priority>();
    check_texts<outcome>();
    check_texts<sent_state>();
    check_texts<retry_reason>();
    check_texts<retry_denied_reason>();
    check_texts<idempotency>();
}

// Guards against running a request twice and against reporting a wrong
// outcome.
TEST_CASE("a failed attempt is retried only if this is safe", "[request]")
{
    decider_fixture deciders;

    SECTION("a non-idempotent request")
    {
        auto state = state_of(idempotency::not_idempotent);
        auto const first = state.start(start);

        SECTION("is retried if nothing was written")
        {
            state.failed(first, retry_reason::connect_failure);
            CHECK(state.final_outcome() == outcome::not_run);
            CHECK(deciders.retry.decide(state, start).value() ==
                  retry_reason::connect_failure);
        }

        SECTION("is retried if the upstream refused it")
        {
            REQUIRE(state.begin_write(first, start));
            state.refused(first);
            CHECK(state.final_outcome() == outcome::not_run);
            CHECK(deciders.retry.decide(state, start).has_value());
        }

        SECTION("is not retried once a byte was written")
        {
            REQUIRE(state.begin_write(first, start));
            state.failed(first, retry_reason::timeout);
            CHECK(state.final_outcome() == outcome::unknown);
            CHECK(deciders.retry.decide(state, start).error() ==
                  retry_denied_reason::may_have_run);
            // A second write is refused even without asking the deciders.
            CHECK_FALSE(state.begin_write(state.start(start), start));
        }

        SECTION("stays unknown if a refusal follows the failure")
        {
            REQUIRE(state.begin_write(first, start));
            state.failed(first, retry_reason::cut_short);
            state.refused(first);
            CHECK(state.final_outcome() == outcome::unknown);
        }

        SECTION("is not written after the deadline")
        {
            // The process may have been paused since the attempt started.
            CHECK_FALSE(state.begin_write(first, start + 1s));
            CHECK(state.sent(first) == sent_state::nothing_written);
        }

        SECTION("is never hedged")
        {
            CHECK(deciders.hedge.decide(state, 1ms, start + 500ms).error() ==
                  retry_denied_reason::may_have_run);
        }
    }

    SECTION("an idempotent request")
    {
        auto state = state_of(idempotency::idempotent);
        auto const first = state.start(start);
        REQUIRE(state.begin_write(first, start));

        SECTION("is retried only if enough time is left until the deadline")
        {
            state.failed(first, retry_reason::timeout);
            CHECK(deciders.retry.decide(state, start + 900ms).has_value());
            CHECK(deciders.retry.decide(state, start + 990ms).error() ==
                  retry_denied_reason::no_time_left);
        }

        SECTION("is not retried after the caller has disconnected")
        {
            state.failed(first, retry_reason::timeout);
            state.mark_caller_disconnected();
            CHECK(deciders.retry.decide(state, start).error() ==
                  retry_denied_reason::caller_gone);
        }

        SECTION("is hedged once, after the hedging delay")
        {
            CHECK(deciders.hedge.decide(state, 30ms, start + 29ms).error() ==
                  retry_denied_reason::not_late);
            CHECK(deciders.hedge.decide(state, 30ms, start + 30ms).has_value());
            auto const second = state.start(start + 30ms);
            CHECK(deciders.hedge.decide(state, 30ms, start + 90ms).error() ==
                  retry_denied_reason::too_many_attempts);
            REQUIRE(state.begin_write(second, start + 30ms));
            state.completed(second);
            state.cancelled(first);
            CHECK(state.final_outcome() == outcome::completed);
        }

        SECTION("is not retried if the budget is spent, and this is counted")
        {
            limits::retry_budget empty({0, 0, 0}, start);
            retry_decider const decider({}, empty, deciders.counters);
            state.failed(first, retry_reason::timeout);
            CHECK(decider.decide(state, start).error() ==
                  retry_denied_reason::budget_spent);
            CHECK(deciders.counters.denied.value(
                      retry_denied_reason::budget_spent) == 1);
        }
    }

    rc::prop("a non-idempotent request runs at most once, and not_run is "
             "reported only if it did not run",
             []
             {
                 decider_fixture case_deciders;
                 auto state = state_of(idempotency::not_idempotent);
                 int runs = 0;
                 // Each step is one attempt: 0 fails to connect, 1 is refused,
                 // 2 completes, 3 runs but is cut short, 4 is past the
                 // deadline.
                 for (auto const step : *rc::gen::container<std::vector<int>>(
                          rc::gen::inRange(0, 5)))
                 {
                     if (state.attempts() > 0 &&
                         !case_deciders.retry.decide(state, start).has_value())
                         break;
                     auto const attempt = state.start(start);
                     auto const now = start + (step == 4 ? 2s : 0s);
                     if (step == 0 || !state.begin_write(attempt, now))
                         state.failed(attempt, retry_reason::connect_failure);
                     else if (step == 1)
                         state.refused(attempt);
                     else
                     {
                         ++runs;
                         if (step == 2)
                             state.completed(attempt);
                         else
                             state.failed(attempt, retry_reason::cut_short);
                     }
                 }
                 RC_ASSERT(runs <= 1);
                 auto const final = state.final_outcome();
                 RC_ASSERT((final == outcome::not_run) == (runs == 0));
             });
}

// Guards against a header that makes a request idempotent although its route or
// method does not.
TEST_CASE("idempotency follows the route, the method and the header",
          "[request]")
{
    using document::repeat_rule;
    constexpr auto yes = idempotency::idempotent;
    constexpr auto no = idempotency::not_idempotent;
    for (auto const method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
    {
        CHECK(idempotency_of(method, repeat_rule::by_method, {}) == yes);
        CHECK(idempotency_of(method, repeat_rule::never, "true") == no);
    }
    for (auto const method : {"POST", "PATCH", "get", ""})
    {
        CHECK(idempotency_of(method, repeat_rule::by_method, "true") == no);
        CHECK(idempotency_of(method, repeat_rule::always, {}) == yes);
    }
    for (auto const value : {"false", "False", "0", "", "no"})
        CHECK(idempotency_of("GET", repeat_rule::always, value) == no);
}
