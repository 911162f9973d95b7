#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// Requests a new ticket from the fixture's instance.
std::string request_ticket(entry_fixture& fixture)
{
    auto const response =
        fixture.exchange(request_text("POST", "/.kumquatloom/tickets"));
    REQUIRE(response);
    REQUIRE(response->result_int() == 200);
    auto const page = boost::json::parse(response->body());
    return std::string(page.at("tickets").as_array().at(0).as_string());
}

std::string purchase_with_ticket(std::string const& ticket,
                                 std::string const& body = "one")
{
    return request_text(
        "POST", "/buy", body, "Kumquatloom-Ticket: " + ticket + "\r\n");
}

std::string outcome_of(received_response const& response)
{
    return std::string(response["Kumquatloom-Outcome"]);
}

std::string reason_of(received_response const& response)
{
    return std::string(response["Kumquatloom-Reason"]);
}

} // namespace

// Guards against a resent request that runs a second time.
TEST_CASE("a ticket runs its request once", "[entry]")
{
    entry_fixture fixture;
    bool const hold_purchases = GENERATE(false, true);
    auto& upstream = fixture.add_upstream(
        [hold_purchases](received_request const& request)
        {
            return raw_reply{complete_response(request, "bought"),
                             false,
                             false,
                             hold_purchases && request.target() == "/buy"};
        });
    fixture.start();
    auto const ticket = request_ticket(fixture);

    if (!hold_purchases)
    {
        auto const first = fixture.exchange(purchase_with_ticket(ticket));
        REQUIRE(first);
        CHECK(first->body() == "bought");

        SECTION("a resent request gets the stored response")
        {
            auto const second = fixture.exchange(purchase_with_ticket(ticket));
            REQUIRE(second);
            CHECK(second->body() == "bought");
            CHECK(outcome_of(*second) == "completed");
            CHECK(upstream.executions() == 1);
        }

        SECTION("another request with the same ticket is not run")
        {
            auto const other =
                fixture.exchange(purchase_with_ticket(ticket, "two"));
            REQUIRE(other);
            CHECK(outcome_of(*other) == "unknown");
            CHECK(reason_of(*other) == "ticket-used");
            CHECK(upstream.executions() == 1);
        }

        SECTION("a forged ticket is not run")
        {
            auto forged = request_ticket(fixture);
            forged.back() = forged.back() == '0' ? '1' : '0';
            auto const response =
                fixture.exchange(purchase_with_ticket(forged));
            REQUIRE(response);
            CHECK(outcome_of(*response) == "not-run");
            CHECK(reason_of(*response) == "invalid-ticket");
            CHECK(upstream.executions() == 1);
        }
        return;
    }

    raw_caller first(fixture.instance().callers_port());
    first.send(purchase_with_ticket(ticket));
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == 1;
        });

    SECTION("a resent request waits for the running one")
    {
        raw_caller second(fixture.instance().callers_port());
        second.send(purchase_with_ticket(ticket));
        entry_fixture::wait_until(
            [&]
            {
                return fixture.metric("kumquatloom_tickets_total{action="
                                      "\"wait-here\"}") != 0;
            });
        upstream.release();
        for (auto* caller : {&first, &second})
        {
            auto const response = caller->receive();
            REQUIRE(response);
            CHECK(response->body() == "bought");
        }
        CHECK(upstream.executions() == 1);
    }

    SECTION("a caller that lost its connection can fetch the response later")
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
        auto const response = fixture.exchange(purchase_with_ticket(ticket));
        REQUIRE(response);
        CHECK(response->body() == "bought");
        CHECK(upstream.executions() == 1);
    }
}

// Guards against a request that is run by an instance that did not issue its
// ticket.
TEST_CASE("only the issuer of a ticket runs its request", "[entry]")
{
    auto const respond_completely = [](received_request const& request)
    {
        return raw_reply{complete_response(request, "bought")};
    };
    entry_fixture owner;
    auto& owner_upstream = owner.add_upstream(respond_completely);
    owner.start();
    auto const ticket = request_ticket(owner);

    entry_fixture other;
    other.settings.instance.id = kumquatloom::core::instance_id("entry-2");
    auto& other_upstream = other.add_upstream(respond_completely);

    SECTION("another instance forwards the request to the issuer")
    {
        other.list_entry_instance("entry-1", owner.instance().callers_port());
        other.start();
        auto const response = other.exchange(purchase_with_ticket(ticket));
        REQUIRE(response);
        CHECK(response->body() == "bought");
        CHECK(owner_upstream.executions() == 1);
    }

    SECTION("the outcome is unknown if the issuer is unreachable")
    {
        other.start();
        auto const response = other.exchange(purchase_with_ticket(ticket));
        REQUIRE(response);
        CHECK(outcome_of(*response) == "unknown");
        CHECK(reason_of(*response) == "ticket-owner-gone");
    }

    SECTION("a forwarded request is not forwarded again")
    {
        other.list_entry_instance("entry-1", owner.instance().callers_port());
        other.start();
        auto const response = other.exchange(
            request_text("POST",
                         "/buy",
                         "one",
                         "Kumquatloom-Ticket: " + ticket +
                             "\r\nKumquatloom-Forwarded: 1\r\n"));
        REQUIRE(response);
        CHECK(outcome_of(*response) == "unknown");
        CHECK(owner_upstream.executions() == 0);
    }
    CHECK(other_upstream.executions() == 0);
}
