#include <catch2/catch.hpp>

#include <cstddef>
#include <unit_tests/platform/order_burst.hpp>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// Connections that an instance opens to one upstream, and more slots.
constexpr unsigned connections = 8;
constexpr unsigned slots = 16;
constexpr unsigned later_orders = 6;

} // namespace

// Guards against requests that wait for a connection to an upstream and reach
// it long after its entry was removed.
TEST_CASE("requests that wait for a connection see the upstream's removal",
          "[platform]")
{
    platform_fixture fixture;
    auto& removed = fixture.add_upstream(hold_request);
    fixture.put_entry("i-1", removed.port(), "ready", "shop", 1, slots);
    fixture.start_ready();
    order_burst orders(fixture);
    orders.send(connections);
    platform_fixture::wait_until(
        [&]
        {
            return removed.held() == connections;
        });
    orders.send(later_orders);
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
            CHECK(orders.status_of(connections + number) == 200);
        CHECK(removed.held() == connections);
        CHECK(added.executions() == later_orders);
    }

    SECTION("none reaches the removed upstream when its connections get free")
    {
        removed.release();
        for (std::size_t number = 0; number < orders.size(); ++number)
            CHECK(orders.status_of(number) != 0);
        CHECK(removed.executions() == connections);
    }
}
