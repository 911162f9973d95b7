#include <kumquatloom/membership/neighbour_table.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::membership;
using namespace std::chrono_literals;

core::time_point const start(1000s);

received_heartbeat heartbeat(std::string host,
                             core::incarnation incarnation,
                             std::uint32_t sequence)
{
    return {std::move(host), incarnation, sequence, true, false};
}

} // namespace

// Guards against instances that are listed for callers although they have
// stopped, are leaving or are not ready.
TEST_CASE("live, ready neighbours are listed for callers", "[membership]")
{
    neighbour_table table({}, "10.0.0.1", 100);
    REQUIRE(table.record_heartbeat(heartbeat("10.0.0.2", 50, 1), start));
    REQUIRE(table.serving(start) == std::vector<std::string>{"10.0.0.2"});

    SECTION("a silent neighbour is not listed")
    {
        CHECK(table.serving(start + 1s).empty());
        CHECK(table.addresses().size() == 1);
        REQUIRE(
            table.record_heartbeat(heartbeat("10.0.0.2", 50, 2), start + 5s));
        CHECK(table.serving(start + 5s).size() == 1);
    }

    SECTION("a leaving or unready neighbour is not listed")
    {
        auto leaving = heartbeat("10.0.0.2", 50, 2);
        leaving.leaving = true;
        REQUIRE(table.record_heartbeat(leaving, start));
        CHECK(table.serving(start).empty());
        auto starting = heartbeat("10.0.0.2", 60, 1);
        starting.ready = false;
        REQUIRE(table.record_heartbeat(starting, start));
        CHECK(table.serving(start).empty());
    }

    SECTION("an outdated heartbeat is ignored")
    {
        auto leaving = heartbeat("10.0.0.2", 40, 9);
        leaving.leaving = true;
        CHECK_FALSE(table.record_heartbeat(leaving, start));
        CHECK(table.serving(start).size() == 1);
    }

    SECTION("a restart with the clock set back is accepted after silence")
    {
        auto const restarted = heartbeat("10.0.0.2", 40, 1);
        CHECK_FALSE(table.record_heartbeat(restarted, start + 999ms));
        CHECK(table.record_heartbeat(restarted, start + 1s));
        CHECK(table.serving(start + 1s).size() == 1);
        // The next heartbeat of the restarted process is accepted without
        // another silence.
        CHECK(table.record_heartbeat(heartbeat("10.0.0.2", 40, 2),
                                     start + 1250ms));
    }

    SECTION("an address without heartbeats is not live")
    {
        CHECK(table.add_address("10.0.0.3", start));
        CHECK_FALSE(table.add_address("10.0.0.3", start));
        CHECK(table.serving(start).size() == 1);
        CHECK(table.addresses().size() == 2);
    }

    SECTION("a neighbour that stays silent is removed")
    {
        table.expire(start + 61s);
        CHECK(table.addresses().empty());
    }
}

// Guards against two instances that both consider themselves the first reader.
TEST_CASE("all instances agree on their ranks", "[membership]")
{
    neighbour_table young({}, "10.0.0.1", 200);
    neighbour_table old({}, "10.0.0.2", 100);
    young.record_heartbeat(heartbeat("10.0.0.2", 100, 1), start);
    old.record_heartbeat(heartbeat("10.0.0.1", 200, 1), start);
    CHECK(old.own_rank(start).rank == 0);
    CHECK(young.own_rank(start).rank == 1);

    SECTION("the next rank moves up when the first instance is silent")
    {
        CHECK(young.own_rank(start + 2s).rank == 0);
    }

    SECTION("the next rank moves up when the first instance leaves")
    {
        auto leaving = heartbeat("10.0.0.2", 100, 2);
        leaving.leaving = true;
        young.record_heartbeat(leaving, start);
        CHECK(young.own_rank(start).rank == 0);
    }
}
