#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

} // namespace

// Guards against callers that exhaust the instance or access what belongs to
// other organisations.
TEST_CASE("caller limits are enforced", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{complete_response(
                request, std::string(request["Kumquatloom-Organisation"]))};
        });
    fixture.settings.callers.header_limit_bytes = 1024;
    fixture.settings.callers.body_limit_bytes = 100;

    SECTION("a request without a credential is refused")
    {
        fixture.start();
        auto const response =
            fixture.exchange("GET /item HTTP/1.1\r\nHost: test\r\n\r\n");
        REQUIRE(response);
        CHECK(response->result_int() == 401);
        CHECK((*response)["Kumquatloom-Outcome"] == "not-run");
        CHECK(response->body() ==
              "{\"outcome\":\"not-run\",\"reason\":\"no-credential\"}\n");
    }

    SECTION("a header can't claim an organisation")
    {
        fixture.start();
        auto const response = fixture.exchange(request_text(
            "GET", "/item", "", "Kumquatloom-Organisation: others\r\n"));
        REQUIRE(response);
        CHECK(response->body() == "toys");
    }

    SECTION("a route of another organisation is refused")
    {
        fixture.start();
        auto const response = fixture.exchange(request_text("GET", "/secret"));
        REQUIRE(response);
        CHECK(response->result_int() == 403);
    }

    SECTION("an oversize body is refused")
    {
        fixture.start();
        auto const response = fixture.exchange(
            request_text("POST", "/buy", std::string(101, 'x')));
        REQUIRE(response);
        CHECK(response->result_int() == 413);
        CHECK((*response)["Kumquatloom-Outcome"] == "not-run");
    }

    SECTION("an oversize header is refused")
    {
        fixture.start();
        auto const response = fixture.exchange(request_text(
            "GET", "/item", "", "X-Big: " + std::string(2000, 'x') + "\r\n"));
        REQUIRE(response);
        CHECK(response->result_int() == 431);
    }

    SECTION("garbage after a request is rejected and not forwarded")
    {
        fixture.start();
        raw_caller caller(fixture.instance().callers_port());
        caller.send(request_text("GET", "/item") + "garbage\r\n\r\n");
        auto const first = caller.receive();
        REQUIRE(first);
        CHECK(first->body() == "toys");
        auto const second = caller.receive();
        REQUIRE(second);
        CHECK(second->result_int() == 400);
        CHECK(caller.ended());
        CHECK(upstream.executions() == 1);
    }

    SECTION("a request with two lengths is refused")
    {
        fixture.start();
        auto const response = fixture.exchange(
            request_text("POST", "/buy", "body", "Content-Length: 10\r\n"));
        REQUIRE(response);
        CHECK(response->result_int() == 400);
        CHECK(upstream.executions() == 0);
    }

    SECTION("a caller that is too slow loses its connection")
    {
        fixture.settings.callers.header_timeout = 20ms;
        fixture.start();
        raw_caller caller(fixture.instance().callers_port());
        SECTION("in the header")
        {
            caller.send("GET /item HT");
        }
        SECTION("in the body")
        {
            caller.send("POST /buy HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        }
        CHECK(caller.ended());
        // The socket is closed before the event is counted.
        auto const count_too_slow = [&]
        {
            return fixture.metric("kumquatloom_events_total{event="
                                  "\"caller-too-slow\"}");
        };
        fixture.wait_until(
            [&]
            {
                return count_too_slow() != 0;
            });
        CHECK(count_too_slow() == 1);
        CHECK(upstream.executions() == 0);
    }

    SECTION("an idle connection is closed")
    {
        fixture.settings.callers.idle_timeout = 20ms;
        fixture.start();
        raw_caller caller(fixture.instance().callers_port());
        CHECK(caller.ended());
    }

    SECTION("connections above the limit are closed")
    {
        fixture.settings.callers.connections = 1;
        fixture.start();
        raw_caller first(fixture.instance().callers_port());
        REQUIRE(first.exchange(request_text("GET", "/item")));
        raw_caller second(fixture.instance().callers_port());
        CHECK(second.ended());
        CHECK(first.exchange(request_text("GET", "/item")));
    }

    SECTION("a response to HEAD has a length but no body")
    {
        fixture.start();
        raw_caller caller(fixture.instance().callers_port());
        caller.send("HEAD /item HTTP/1.1\r\nHost: test\r\n"
                    "Connection: close\r\n\r\n");
        auto const response = caller.receive(true);
        REQUIRE(response);
        CHECK(response->result_int() == 401);
        CHECK((*response)["Content-Length"] == "47");
        CHECK(caller.ended());
    }
}
