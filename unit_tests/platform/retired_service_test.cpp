#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <unit_tests/platform/platform_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

constexpr unsigned slots = 6;
constexpr unsigned waiting_orders = 3;

std::string order(std::string const& id)
{
    return platform_request("POST", "/order/" + id, "kit");
}

raw_reply hold(received_request const& request)
{
    return {platform_response(request, "done"), false, false, true};
}

} // namespace

// Guards against requests that wait for a service which a new configuration no
// longer lists, and are sent to its upstreams of that time.
TEST_CASE("the waiting requests of a retired service see its upstreams",
          "[platform]")
{
    platform_fixture fixture;
    auto& old = fixture.add_upstream(hold);
    fixture.start_ready();
    std::vector<std::unique_ptr<raw_caller>> callers;
    auto const send_orders = [&](unsigned count)
    {
        for (unsigned number = 0; number < count; ++number)
        {
            callers.push_back(std::make_unique<raw_caller>(
                fixture.instance().callers_port()));
            callers.back()->send(order(std::to_string(callers.size())));
        }
    };
    send_orders(slots);
    platform_fixture::wait_until(
        [&]
        {
            return old.held() == slots;
        });
    send_orders(waiting_orders);
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
        auto const response = callers.at(slots + number)->receive();
        return response ? response->result_int() : 0;
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
        CHECK(fixture.exchange(order("new"))->result_int() == 200);
        CHECK(added.executions() == waiting_orders + 1);
        CHECK(old.executions() == slots);
    }
}
