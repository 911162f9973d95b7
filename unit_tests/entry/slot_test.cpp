#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <unit_tests/entry/entry_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

raw_reply hold(received_request const& request)
{
    return {complete_response(request, "done"), false, false, true};
}

} // namespace

// Guards against requests that exceed the slots of an upstream or are lost
// while they wait for a slot.
TEST_CASE("requests wait for a free slot", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(hold);
    fixture.start();
    // Each upstream of the service has six slots.
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int number = 0; number < 8; ++number)
    {
        callers.push_back(
            std::make_unique<raw_caller>(fixture.instance().callers_port()));
        callers.back()->send(request_text("POST", "/buy", "one"));
    }
    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_requests_in_flight") == 8;
        });
    CHECK(upstream.executions() <= 6);
    upstream.release();
    for (auto const& caller : callers)
    {
        auto const response = caller->receive();
        REQUIRE(response);
        CHECK(response->body() == "done");
    }
    CHECK(upstream.executions() == 8);
}

// Guards against an idempotent request that waits for a slow upstream while
// another one is free, and against a hedge whose losing attempt is not
// cancelled.
TEST_CASE("a slow idempotent request is hedged once", "[entry]")
{
    entry_fixture fixture;
    auto const respond_unless_slow = [](received_request const& request)
    {
        auto reply = hold(request);
        reply.hold = request.target() == "/slow";
        return reply;
    };
    auto& one = fixture.add_upstream(respond_unless_slow);
    auto& other = fixture.add_upstream(respond_unless_slow);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("an idempotent request runs on both upstreams, and the caller gets "
            "one response")
    {
        caller.send(request_text("GET", "/slow"));
        entry_fixture::wait_until(
            [&]
            {
                return one.held() == 1 && other.held() == 1;
            });
        one.release();
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->body() == "done");
        entry_fixture::wait_until(
            [&]
            {
                return other.cancelled() == 1;
            });
        CHECK(one.executions() + other.executions() == 2);
    }

    SECTION("a non-idempotent request is not hedged")
    {
        caller.send(request_text("POST", "/slow", "one"));
        entry_fixture::wait_until(
            [&]
            {
                return one.held() + other.held() == 1;
            });
        one.release();
        other.release();
        REQUIRE(caller.receive());
        CHECK(one.executions() + other.executions() == 1);
    }
}
