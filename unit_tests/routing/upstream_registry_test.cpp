#include <kumquatloom/routing/upstream_registry.hpp>

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::routing;
using namespace std::chrono_literals;

core::time_point const start(1000s);

listed_upstream entry(std::string const& id, bool leaving = false)
{
    listed_upstream result;
    result.endpoint.id = core::upstream_id(id);
    result.endpoint.service = core::service_name("shop");
    result.endpoint.host = "10.0.0.9";
    result.endpoint.port = 80;
    result.endpoint.slots = 6;
    result.leaving = leaving;
    return result;
}

upstream_change listed(std::string const& id, bool leaving = false)
{
    return {core::upstream_id(id), entry(id, leaving)};
}

upstream_change removed(std::string const& id)
{
    return {core::upstream_id(id), std::nullopt};
}

} // namespace

// Guards against work for upstreams that are gone, and against a service that
// loses all of its upstreams because nobody could renew a lease.
TEST_CASE("the registry follows the list", "[routing]")
{
    upstream_registry registry({});
    registry.record_list_read(start, start);
    REQUIRE(registry.apply(listed("a"), start));
    REQUIRE(registry.apply(listed("b"), start));
    REQUIRE(registry.listing().size() == 2);

    SECTION("a heartbeat without news does not matter")
    {
        CHECK_FALSE(registry.apply(listed("a"), start));
    }

    SECTION("draining and a new process do")
    {
        CHECK(registry.apply(listed("a", true), start));
        auto reborn = listed("b");
        reborn.entry->endpoint.incarnation = 7;
        CHECK(registry.apply(reborn, start));
    }

    SECTION("a removed upstream is gone at once")
    {
        CHECK(registry.apply(removed("a"), start));
        CHECK(registry.listing().size() == 1);
        CHECK_FALSE(registry.apply(removed("a"), start));
    }

    SECTION("an entry that cannot be read names no upstream")
    {
        CHECK(registry.apply({core::upstream_id("a"), std::nullopt}, start));
        CHECK(registry.listing().size() == 1);
    }

    SECTION("a whole list removes what it does not name")
    {
        CHECK(registry.replace({entry("b"), entry("c")}, start));
        auto const now = registry.listing();
        REQUIRE(now.size() == 2);
        CHECK(now[0].endpoint.id.value() == "b");
        CHECK(now[1].endpoint.id.value() == "c");
        CHECK_FALSE(registry.replace({entry("b"), entry("c")}, start));
    }

    SECTION("around an outage of the list")
    {
        auto const back = start + 10s;
        registry.record_list_read(start, back);

        SECTION("an upstream that vanished is used until it had time to return")
        {
            registry.apply(removed("a"), back);
            CHECK(registry.listing().size() == 2);
            CHECK(registry.lapsed() == 1);
            CHECK_FALSE(registry.expire(back + 2s));
            CHECK(registry.expire(back + 2200ms));
            CHECK(registry.listing().size() == 1);
        }

        SECTION("and stays if it returns")
        {
            registry.apply(removed("a"), back);
            CHECK(registry.apply(listed("a"), back + 1s));
            registry.expire(back + 3s);
            CHECK(registry.listing().size() == 2);
        }

        SECTION("but one that had announced its end is gone")
        {
            registry.apply(listed("a", true), back);
            CHECK(registry.apply(removed("a"), back));
            CHECK(registry.listing().size() == 1);
        }
    }
}
