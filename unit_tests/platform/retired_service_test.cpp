#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/platform/order_burst.hpp>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

constexpr unsigned slots = 6;
constexpr unsigned waiting_orders = 3;

} // namespace

// Guards against requests that wait for a service which a new configuration no
// longer lists, and are sent to its upstreams of that time.
TEST_CASE("the waiting requests of a retired service see its upstreams",
          "[platform]")
{
    platform_fixture fixture;
    auto& old = fixture.add_upstream(hold_request);
    fixture.start_ready();
    order_burst orders(fixture);
    orders.send(slots);
    platform_fixture::wait_until(
        [&]
        {
            return old.held() == slots;
        });
    orders.send(waiting_orders);
    fixture.wait_for_reads();
    auto const configure = [&](unsigned version, std::string const& service)
    {
        fixture.put_configuration(
            version,
            R"(["order","shop.example","/order/","unsafe",20,5,1,null,2,")" +
                service + R"("])",
            3,
            R"([")" + service + R"("])");
        fixture.wait_for_reads();
    };
    auto const status_of_waiting = [&](unsigned number)
    {
        return orders.status_of(slots + number);
    };
    configure(2, "other");

    SECTION("nothing is sent to an upstream that leaves afterwards")
    {
        fixture.put_entry("i-1", old.port(), "draining");
        fixture.wait_for_reads();
        old.release();
        for (unsigned number = 0; number < waiting_orders; ++number)
            CHECK(status_of_waiting(number) == 503);
        CHECK(old.executions() == slots);
    }

    SECTION("they are refused as soon as the last upstream is removed")
    {
        fixture.remove_entry("i-1");
        for (unsigned number = 0; number < waiting_orders; ++number)
            CHECK(status_of_waiting(number) == 503);
        CHECK(old.held() == slots);
        CHECK(old.executions() == slots);
    }

    SECTION("they are served while its upstreams stay")
    {
        old.release();
        for (unsigned number = 0; number < waiting_orders; ++number)
            CHECK(status_of_waiting(number) == 200);
        CHECK(old.executions() == slots + waiting_orders);
    }

    SECTION("they are served if the service returns with other upstreams")
    {
        fixture.remove_entry("i-1");
        auto& added = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{platform_response(request, "done")};
            });
        configure(3, "shop");
        for (unsigned number = 0; number < waiting_orders; ++number)
            CHECK(status_of_waiting(number) == 200);
        CHECK(fixture.exchange(platform_request("POST", "/order/new", "kit"))
                  ->result_int() == 200);
        CHECK(added.executions() == waiting_orders + 1);
        CHECK(old.executions() == slots);
    }
}
