#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <unit_tests/platform/platform_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

/// Connections that an instance opens to one upstream, and more slots.
constexpr unsigned connections = 8;
constexpr unsigned slots = 16;
constexpr unsigned later_orders = 6;

raw_reply hold(received_request const& request)
{
    return {platform_response(request, "done"), false, false, true};
}

} // namespace

// Guards against requests that wait for a connection to an upstream and reach
// it long after its entry was removed.
TEST_CASE("requests that wait for a connection see the upstream's removal",
          "[platform]")
{
    platform_fixture fixture;
    auto& removed = fixture.add_upstream(hold);
    fixture.put_entry("i-1", removed.port(), "ready", "shop", 1, slots);
    fixture.start_ready();
    std::vector<std::unique_ptr<raw_caller>> callers;
    auto const send_orders = [&](unsigned count)
    {
        for (unsigned number = 0; number < count; ++number)
        {
            callers.push_back(std::make_unique<raw_caller>(
                fixture.instance().callers_port()));
            callers.back()->send(platform_request(
                "POST", "/order/" + std::to_string(callers.size()), "kit"));
        }
    };
    send_orders(connections);
    platform_fixture::wait_until(
        [&]
        {
            return removed.held() == connections;
        });
    send_orders(later_orders);
    fixture.wait_for_reads();
    auto& added = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{platform_response(request, "done")};
        });
    fixture.remove_entry("i-1");
    fixture.wait_for_reads();

    SECTION("they run at another upstream while the removed one is at work")
    {
        for (unsigned number = 0; number < later_orders; ++number)
        {
            auto const response = callers.at(connections + number)->receive();
            REQUIRE(response);
            CHECK(response->result_int() == 200);
        }
        CHECK(removed.held() == connections);
        CHECK(added.executions() == later_orders);
    }

    SECTION("none reaches the removed upstream when its connections get free")
    {
        removed.release();
        for (auto const& caller : callers)
            CHECK(caller->receive());
        CHECK(removed.executions() == connections);
    }
}
