#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

std::string read_text(std::string const& target)
{
    return platform_request("GET", target);
}

} // namespace

// Guards against pipelined requests that end without a response at the end of
// the grace period, and against "not run" for one that may have run.
TEST_CASE("the end of the grace period answers the pipelined requests that "
          "have started",
          "[platform][pipelined]")
{
    platform_fixture fixture;
    raw_upstream upstream(
        [](received_request const& request)
        {
            return raw_reply{
                platform_response(request, "done"), false, false, true};
        });
    constexpr unsigned slots = 2;
    fixture.put_entry("i-1", upstream.port(), "ready", "shop", 1, slots);
    fixture.settings.grace = 3s;
    fixture.start_ready();
    raw_caller caller(fixture.instance().callers_port());
    auto const wait_for_start = [&](unsigned requests)
    {
        platform_fixture::wait_until(
            [&]
            {
                return fixture.metric("kumquatloom_requests_in_flight") ==
                       requests;
            });
    };

    SECTION("idempotent ones, of which one waits for a slot")
    {
        caller.send(read_text("/read/a") + read_text("/read/b") +
                    read_text("/read/c") +
                    platform_request("POST", "/order/1", "kit"));
        platform_fixture::wait_until(
            [&]
            {
                return upstream.held() == slots;
            });
        wait_for_start(3);
        fixture.instance().begin_shutdown();
        for (auto const status : {504U, 504U, 503U})
        {
            auto const response = caller.receive();
            REQUIRE(response);
            CHECK(response->result_int() == status);
            CHECK(((*response)["Connection"] == "close") == (status == 503U));
        }
        CHECK(caller.ended());
        CHECK(upstream.executions() == slots);
    }

    SECTION("one that runs alone; those behind it have not started")
    {
        caller.send(platform_request("POST", "/order/1", "kit") +
                    read_text("/read/b") +
                    platform_request("POST", "/order/2", "kit"));
        platform_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        fixture.instance().begin_shutdown();
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 504);
        CHECK((*response)["Connection"] == "close");
        CHECK(caller.ended());
        CHECK(upstream.executions() == 1);
    }
}
