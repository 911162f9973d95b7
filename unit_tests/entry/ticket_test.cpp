#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// A new ticket of the fixture's instance.
std::string take_ticket(entry_fixture& fixture)
{
    auto const answer =
        fixture.ask(request_text("POST", "/.kumquatloom/tickets"));
    REQUIRE(answer);
    REQUIRE(answer->result_int() == 200);
    auto const page = boost::json::parse(answer->body());
    return std::string(page.at("tickets").as_array().at(0).as_string());
}

std::string buy_with(std::string const& ticket, std::string const& body = "one")
{
    return request_text(
        "POST", "/buy", body, "Kumquatloom-Ticket: " + ticket + "\r\n");
}

std::string outcome_of(received_response const& answer)
{
    return std::string(answer["Kumquatloom-Outcome"]);
}

std::string reason_of(received_response const& answer)
{
    return std::string(answer["Kumquatloom-Reason"]);
}

} // namespace

// Guards against a resend that runs a request a second time.
TEST_CASE("a ticket runs its request once", "[entry]")
{
    entry_fixture fixture;
    bool const held = GENERATE(false, true);
    auto& upstream = fixture.add_upstream(
        [held](received_request const& request)
        {
            return raw_reply{whole_answer(request, "bought"),
                             false,
                             false,
                             held && request.target() == "/buy"};
        });
    fixture.start();
    auto const ticket = take_ticket(fixture);

    if (!held)
    {
        auto const first = fixture.ask(buy_with(ticket));
        REQUIRE(first);
        CHECK(first->body() == "bought");

        SECTION("a resend gets the kept answer")
        {
            auto const second = fixture.ask(buy_with(ticket));
            REQUIRE(second);
            CHECK(second->body() == "bought");
            CHECK(outcome_of(*second) == "completed");
            CHECK(upstream.executions() == 1);
        }

        SECTION("another request with the same ticket is not run")
        {
            auto const other = fixture.ask(buy_with(ticket, "two"));
            REQUIRE(other);
            CHECK(outcome_of(*other) == "unknown");
            CHECK(reason_of(*other) == "ticket-used");
            CHECK(upstream.executions() == 1);
        }

        SECTION("a forged ticket is not run")
        {
            auto forged = take_ticket(fixture);
            forged.back() = forged.back() == '0' ? '1' : '0';
            auto const answer = fixture.ask(buy_with(forged));
            REQUIRE(answer);
            CHECK(outcome_of(*answer) == "not-run");
            CHECK(reason_of(*answer) == "invalid-ticket");
            CHECK(upstream.executions() == 1);
        }
        return;
    }

    raw_caller first(fixture.instance().callers_port());
    first.send(buy_with(ticket));
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == 1;
        });

    SECTION("a resend waits for the running request")
    {
        raw_caller second(fixture.instance().callers_port());
        second.send(buy_with(ticket));
        entry_fixture::wait_until(
            [&]
            {
                return fixture.metric("kumquatloom_tickets_total{action="
                                      "\"wait-here\"}") != 0;
            });
        upstream.release();
        for (auto* caller : {&first, &second})
        {
            auto const answer = caller->receive();
            REQUIRE(answer);
            CHECK(answer->body() == "bought");
        }
        CHECK(upstream.executions() == 1);
    }

    SECTION("a caller that lost its connection gets the answer later")
    {
        first.close();
        entry_fixture::wait_until(
            [&]
            {
                return fixture.metric("kumquatloom_events_total{event=\"caller-"
                                      "disconnected\"}") == 1;
            });
        CHECK(upstream.cancelled() == 0);
        upstream.release();
        auto const answer = fixture.ask(buy_with(ticket));
        REQUIRE(answer);
        CHECK(answer->body() == "bought");
        CHECK(upstream.executions() == 1);
    }
}

// Guards against a ticket that runs in an instance that did not issue it.
TEST_CASE("only the owner of a ticket runs its request", "[entry]")
{
    auto const answer_whole = [](received_request const& request)
    {
        return raw_reply{whole_answer(request, "bought")};
    };
    entry_fixture owner;
    auto& owners_upstream = owner.add_upstream(answer_whole);
    owner.start();
    auto const ticket = take_ticket(owner);

    entry_fixture other;
    other.settings.instance.id = kumquatloom::core::instance_id("entry-2");
    auto& others_upstream = other.add_upstream(answer_whole);

    SECTION("another instance passes the request on")
    {
        other.add_entry("entry-1", owner.instance().callers_port());
        other.start();
        auto const answer = other.ask(buy_with(ticket));
        REQUIRE(answer);
        CHECK(answer->body() == "bought");
        CHECK(owners_upstream.executions() == 1);
    }

    SECTION("the outcome is unknown if the owner is gone")
    {
        other.start();
        auto const answer = other.ask(buy_with(ticket));
        REQUIRE(answer);
        CHECK(outcome_of(*answer) == "unknown");
        CHECK(reason_of(*answer) == "ticket-owner-gone");
    }

    SECTION("a request that was passed on is not passed on again")
    {
        other.add_entry("entry-1", owner.instance().callers_port());
        other.start();
        auto const answer =
            other.ask(request_text("POST",
                                   "/buy",
                                   "one",
                                   "Kumquatloom-Ticket: " + ticket +
                                       "\r\nKumquatloom-Forwarded: 1\r\n"));
        REQUIRE(answer);
        CHECK(outcome_of(*answer) == "unknown");
        CHECK(owners_upstream.executions() == 0);
    }
    CHECK(others_upstream.executions() == 0);
}
