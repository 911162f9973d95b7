#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

} // namespace

// Guards against requests that are passed on late in the grace time and cut
// without a response at its end.
TEST_CASE("a planned stop answers the requests that it takes", "[platform]")
{
    platform_fixture fixture;
    fixture.put_configuration(
        1,
        R"(["order","shop.example","/order/","unsafe",20,5,1,null,2,"shop"])",
        20);
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            // The first request sets the estimate of the service time.
            bool const is_first = request.target() == "/order/first";
            if (is_first)
                std::this_thread::sleep_for(2s);
            return raw_reply{
                platform_response(request, "done"), false, false, !is_first};
        });

    SECTION("a request that is complete too late is refused as not run")
    {
        fixture.settings.grace = 8s;
        fixture.start_ready();
        auto const first =
            fixture.exchange(platform_request("POST", "/order/first", "kit"));
        REQUIRE(first);
        auto const text = platform_request("POST", "/order/late", "kit");
        auto const split = text.size() - 2;
        raw_caller caller(fixture.instance().callers_port());
        caller.send(text.substr(0, split));
        auto const stopped_at = std::chrono::steady_clock::now();
        fixture.instance().begin_shutdown();
        std::this_thread::sleep_until(stopped_at + 5s);
        caller.send(text.substr(split));
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK((*response)["Connection"] == "close");
        CHECK(upstream.executions() == 1);
    }

    SECTION("a request that may take longer than the rest of the grace time is "
            "refused late in it")
    {
        fixture.settings.grace = 8s;
        fixture.start_ready();
        auto const text = platform_request("POST", "/order/held", "kit");
        auto const split = text.size() - 2;
        raw_caller caller(fixture.instance().callers_port());
        caller.send(text.substr(0, split));
        auto const stopped_at = std::chrono::steady_clock::now();
        fixture.instance().begin_shutdown();
        // The service has been fast so far, but the request could take 20 s.
        std::this_thread::sleep_until(stopped_at + 3600ms);
        caller.send(text.substr(split));
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK((*response)["Connection"] == "close");
        CHECK(upstream.executions() == 0);
    }

    SECTION("a request that still runs at the end gets an honest response")
    {
        fixture.settings.grace = 3s;
        fixture.start_ready();
        raw_caller caller(fixture.instance().callers_port());
        caller.send(platform_request("POST", "/order/held", "kit"));
        platform_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        fixture.instance().begin_shutdown();
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 504);
        CHECK(upstream.executions() == 1);
    }
}
