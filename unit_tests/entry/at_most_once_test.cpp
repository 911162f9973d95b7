#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

std::string outcome_of(received_response const& response)
{
    return std::string(response["Kumquatloom-Outcome"]);
}

raw_reply respond_completely(received_request const& request)
{
    return {complete_response(request, "done")};
}

} // namespace

// Guards against a non-idempotent request that runs twice because of a retry,
// and against the outcome "not-run" for a request that ran.
TEST_CASE("a non-idempotent request runs at most once", "[entry]")
{
    entry_fixture fixture;
    auto const post = request_text("POST", "/buy", "one");

    SECTION("a connection that ends after the request was sent makes the "
            "outcome unknown")
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
        auto const drop_connection = [reset](received_request const&)
        {
            return raw_reply{"", !reset, reset};
        };
        auto& one = fixture.add_upstream(drop_connection);
        auto& other = fixture.add_upstream(drop_connection);
        fixture.start();
        auto const response = fixture.exchange(post);
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        CHECK(outcome_of(*response) == "unknown");
        CHECK(one.executions() + other.executions() == 1);
    }

    SECTION("an explicit refusal allows another attempt")
    {
        auto const refuse_explicitly = [](received_request const& request)
        {
            auto const id = request["Kumquatloom-Request-Id"];
            return raw_reply{"HTTP/1.1 503 Service Unavailable\r\n"
                             "Kumquatloom-Outcome: not-run\r\n"
                             "Content-Length: 0\r\n"
                             "Kumquatloom-Request-Id: " +
                             std::string(id) + "\r\n\r\n"};
        };
        fixture.add_upstream(refuse_explicitly);
        SECTION("and the request runs on another upstream")
        {
            auto& other = fixture.add_upstream(respond_completely);
            fixture.start();
            auto const response = fixture.exchange(post);
            REQUIRE(response);
            CHECK(response->body() == "done");
            CHECK(other.executions() == 1);
        }
        SECTION("and is reported as not run when all refuse")
        {
            fixture.add_upstream(refuse_explicitly);
            fixture.start();
            auto const response = fixture.exchange(post);
            REQUIRE(response);
            CHECK(response->result_int() == 503);
            CHECK(outcome_of(*response) == "not-run");
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
        auto const response = fixture.exchange(post);
        REQUIRE(response);
        CHECK(outcome_of(*response) != "not-run");
        CHECK(upstream.executions() == 1);
    }

    SECTION("a failed connect is reported as not run")
    {
        fixture.add_unreachable_upstream();
        fixture.start();
        auto const response = fixture.exchange(post);
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(outcome_of(*response) == "not-run");
    }

    SECTION("a pooled connection that the upstream closed is not written to")
    {
        auto& upstream = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{complete_response(request, "done"), true};
            });
        fixture.settings.threads = 1;
        fixture.start();
        for (int number = 0; number < 3; ++number)
        {
            auto const response = fixture.exchange(post);
            REQUIRE(response);
            // The upstream closes after its response. The reuse of the
            // connection races with the close.
            CHECK((response->body() == "done" ||
                   outcome_of(*response) == "unknown"));
        }
        CHECK(upstream.executions() <= 3);
    }

    SECTION("a route that forbids retries applies to any method")
    {
        auto const drop_connection = [](received_request const&)
        {
            return raw_reply{"", true};
        };
        auto& one = fixture.add_upstream(drop_connection);
        auto& other = fixture.add_upstream(drop_connection);
        fixture.start();
        auto const response =
            fixture.exchange(request_text("GET", "/once/item"));
        REQUIRE(response);
        CHECK(outcome_of(*response) == "unknown");
        CHECK(one.executions() + other.executions() == 1);
    }

    SECTION("a caller can only restrict retries")
    {
        auto const drop_connection = [](received_request const&)
        {
            return raw_reply{"", true};
        };
        auto& one = fixture.add_upstream(drop_connection);
        auto& other = fixture.add_upstream(drop_connection);
        fixture.start();
        SECTION("false forbids retries")
        {
            fixture.exchange(request_text(
                "GET", "/item", "", "Kumquatloom-Idempotent: false\r\n"));
            CHECK(one.executions() + other.executions() == 1);
        }
        SECTION("true permits nothing more")
        {
            fixture.exchange(request_text(
                "POST", "/buy", "one", "Kumquatloom-Idempotent: true\r\n"));
            CHECK(one.executions() + other.executions() == 1);
        }
    }

    SECTION("an idempotent request is retried at another upstream")
    {
        fixture.add_upstream(
            [](received_request const&)
            {
                return raw_reply{"", true};
            });
        auto& other = fixture.add_upstream(respond_completely);
        fixture.start();
        auto const response = fixture.exchange(request_text("GET", "/item"));
        REQUIRE(response);
        CHECK(response->body() == "done");
        CHECK(other.executions() == 1);
    }
}

// Guards against an upstream that continues to work on a request whose caller
// has disconnected.
TEST_CASE("a caller that disconnects cancels its request", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{
                complete_response(request, "done"), false, false, true};
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
            return fixture.metric("kumquatloom_events_total{event=\"caller-"
                                  "disconnected\"}") == 1;
        });
    CHECK(upstream.executions() == 1);
}
