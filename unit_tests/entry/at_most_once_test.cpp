#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

std::string outcome_of(received_response const& answer)
{
    return std::string(answer["Kumquatloom-Outcome"]);
}

raw_reply answer_whole(received_request const& request)
{
    return {whole_answer(request, "done")};
}

} // namespace

// Guards against a non-idempotent request that runs twice, and against a
// "not-run" for a request that ran.
TEST_CASE("a non-idempotent request runs at most once", "[entry]")
{
    entry_fixture fixture;
    auto const post = request_text("POST", "/buy", "one");

    SECTION("a connection that ends after the request leaves it unknown")
    {
        bool reset = false;
        SECTION("by a close")
        {
            reset = false;
        }
        SECTION("by a reset")
        {
            reset = true;
        }
        auto const lose = [reset](received_request const&)
        {
            return raw_reply{"", !reset, reset};
        };
        auto& one = fixture.add_upstream(lose);
        auto& other = fixture.add_upstream(lose);
        fixture.start();
        auto const answer = fixture.ask(post);
        REQUIRE(answer);
        CHECK(answer->result_int() == 502);
        CHECK(outcome_of(*answer) == "unknown");
        CHECK(one.executions() + other.executions() == 1);
    }

    SECTION("an explicit refusal allows another attempt")
    {
        auto const refuse = [](received_request const& request)
        {
            auto const id = request["Kumquatloom-Request-Id"];
            return raw_reply{"HTTP/1.1 503 Service Unavailable\r\n"
                             "Kumquatloom-Outcome: not-run\r\n"
                             "Content-Length: 0\r\n"
                             "Kumquatloom-Request-Id: " +
                             std::string(id) + "\r\n\r\n"};
        };
        fixture.add_upstream(refuse);
        SECTION("which runs on another upstream")
        {
            auto& other = fixture.add_upstream(answer_whole);
            fixture.start();
            auto const answer = fixture.ask(post);
            REQUIRE(answer);
            CHECK(answer->body() == "done");
            CHECK(other.executions() == 1);
        }
        SECTION("and is reported as not run when all refuse")
        {
            fixture.add_upstream(refuse);
            fixture.start();
            auto const answer = fixture.ask(post);
            REQUIRE(answer);
            CHECK(answer->result_int() == 503);
            CHECK(outcome_of(*answer) == "not-run");
        }
    }

    SECTION("a refusal without the explicit header may have run")
    {
        auto& upstream = fixture.add_upstream(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{"HTTP/1.1 503 Service Unavailable\r\n"
                                 "Content-Length: 0\r\n"
                                 "Kumquatloom-Request-Id: " +
                                 std::string(id) + "\r\n\r\n"};
            });
        fixture.start();
        auto const answer = fixture.ask(post);
        REQUIRE(answer);
        CHECK(outcome_of(*answer) != "not-run");
        CHECK(upstream.executions() == 1);
    }

    SECTION("a failed connect is reported as not run")
    {
        fixture.add_dead_upstream();
        fixture.start();
        auto const answer = fixture.ask(post);
        REQUIRE(answer);
        CHECK(answer->result_int() == 503);
        CHECK(outcome_of(*answer) == "not-run");
    }

    SECTION("a pooled connection that the upstream closed is not written to")
    {
        auto& upstream = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{whole_answer(request, "done"), true};
            });
        fixture.settings.threads = 1;
        fixture.start();
        for (int number = 0; number < 3; ++number)
        {
            auto const answer = fixture.ask(post);
            REQUIRE(answer);
            // Closing follows the answer, so that either side may notice first.
            CHECK(
                (answer->body() == "done" || outcome_of(*answer) == "unknown"));
        }
        CHECK(upstream.executions() <= 3);
    }

    SECTION("a route that forbids repetition holds for any method")
    {
        auto const lose = [](received_request const&)
        {
            return raw_reply{"", true};
        };
        auto& one = fixture.add_upstream(lose);
        auto& other = fixture.add_upstream(lose);
        fixture.start();
        auto const answer = fixture.ask(request_text("GET", "/once/item"));
        REQUIRE(answer);
        CHECK(outcome_of(*answer) == "unknown");
        CHECK(one.executions() + other.executions() == 1);
    }

    SECTION("a caller can only make the handling stricter")
    {
        auto const lose = [](received_request const&)
        {
            return raw_reply{"", true};
        };
        auto& one = fixture.add_upstream(lose);
        auto& other = fixture.add_upstream(lose);
        fixture.start();
        SECTION("false forbids repetition")
        {
            fixture.ask(request_text(
                "GET", "/item", "", "Kumquatloom-Idempotent: false\r\n"));
            CHECK(one.executions() + other.executions() == 1);
        }
        SECTION("true allows nothing")
        {
            fixture.ask(request_text(
                "POST", "/buy", "one", "Kumquatloom-Idempotent: true\r\n"));
            CHECK(one.executions() + other.executions() == 1);
        }
    }

    SECTION("an idempotent request is repeated on another upstream")
    {
        fixture.add_upstream(
            [](received_request const&)
            {
                return raw_reply{"", true};
            });
        auto& other = fixture.add_upstream(answer_whole);
        fixture.start();
        auto const answer = fixture.ask(request_text("GET", "/item"));
        REQUIRE(answer);
        CHECK(answer->body() == "done");
        CHECK(other.executions() == 1);
    }
}

// Guards against work that goes on at an upstream for a caller that has gone.
TEST_CASE("a caller that disconnects cancels its request", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{whole_answer(request, "done"), false, false, true};
        });
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    caller.send(request_text("GET", "/item"));
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == 1;
        });
    caller.close();
    entry_fixture::wait_until(
        [&]
        {
            return upstream.cancelled() == 1;
        });
    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_events_total{event=\"caller_"
                                  "disconnected\"}") == 1;
        });
    CHECK(upstream.executions() == 1);
}
