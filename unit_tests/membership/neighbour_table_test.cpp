#include <kumquatloom/membership/neighbour_table.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::membership;
using namespace std::chrono_literals;

core::time_point const start(1000s);

heard_heartbeat heartbeat(std::string host,
                          core::incarnation incarnation,
                          std::uint32_t sequence)
{
    return {std::move(host), incarnation, sequence, true, false};
}

} // namespace

// Guards against callers that are sent to instances that are gone, leaving or
// not ready.
TEST_CASE("callers are sent to live neighbours that serve", "[membership]")
{
    neighbour_table table({}, "10.0.0.1", 100);
    REQUIRE(table.hear(heartbeat("10.0.0.2", 50, 1), start));
    REQUIRE(table.serving(start) == std::vector<std::string>{"10.0.0.2"});

    SECTION("not to one that has fallen silent")
    {
        CHECK(table.serving(start + 1s).empty());
        CHECK(table.addresses().size() == 1);
        REQUIRE(table.hear(heartbeat("10.0.0.2", 50, 2), start + 5s));
        CHECK(table.serving(start + 5s).size() == 1);
    }

    SECTION("not to one that is leaving or not ready")
    {
        auto leaving = heartbeat("10.0.0.2", 50, 2);
        leaving.leaving = true;
        REQUIRE(table.hear(leaving, start));
        CHECK(table.serving(start).empty());
        auto starting = heartbeat("10.0.0.2", 60, 1);
        starting.ready = false;
        REQUIRE(table.hear(starting, start));
        CHECK(table.serving(start).empty());
    }

    SECTION("an old heartbeat changes nothing")
    {
        auto leaving = heartbeat("10.0.0.2", 40, 9);
        leaving.leaving = true;
        CHECK_FALSE(table.hear(leaving, start));
        CHECK(table.serving(start).size() == 1);
    }

    SECTION("unless its sender has restarted with its clock set back")
    {
        auto const restarted = heartbeat("10.0.0.2", 40, 1);
        CHECK_FALSE(table.hear(restarted, start + 999ms));
        CHECK(table.hear(restarted, start + 1s));
        CHECK(table.serving(start + 1s).size() == 1);
        // The process before it is gone for good.
        CHECK(table.hear(heartbeat("10.0.0.2", 40, 2), start + 1250ms));
    }

    SECTION("an address alone is no live neighbour")
    {
        CHECK(table.learn("10.0.0.3", start));
        CHECK_FALSE(table.learn("10.0.0.3", start));
        CHECK(table.serving(start).size() == 1);
        CHECK(table.addresses().size() == 2);
    }

    SECTION("one that stays silent is forgotten")
    {
        table.expire(start + 61s);
        CHECK(table.addresses().empty());
    }
}

// Guards against two instances that both believe to be the first to read.
TEST_CASE("all instances agree about their ranks", "[membership]")
{
    neighbour_table young({}, "10.0.0.1", 200);
    neighbour_table old({}, "10.0.0.2", 100);
    young.hear(heartbeat("10.0.0.2", 100, 1), start);
    old.hear(heartbeat("10.0.0.1", 200, 1), start);
    CHECK(old.place(start).rank == 0);
    CHECK(young.place(start).rank == 1);

    SECTION("the next one moves up when the first is gone")
    {
        CHECK(young.place(start + 2s).rank == 0);
    }

    SECTION("or leaves")
    {
        auto leaving = heartbeat("10.0.0.2", 100, 2);
        leaving.leaving = true;
        young.hear(leaving, start);
        CHECK(young.place(start).rank == 0);
    }
}
