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

// Guards against requests to upstreams that are gone, and against a service
// that loses all of its upstreams because none could renew its lease during an
// outage of the list.
TEST_CASE("the registry follows the list", "[routing]")
{
    upstream_registry registry({});
    registry.record_list_read(start, start, start);
    REQUIRE(registry.apply(listed("a"), start));
    REQUIRE(registry.apply(listed("b"), start));
    REQUIRE(registry.listing().size() == 2);

    SECTION("a lease renewal without a change does not affect routing")
    {
        CHECK_FALSE(registry.apply(listed("a"), start));
    }

    SECTION("draining and a new process affect routing")
    {
        CHECK(registry.apply(listed("a", true), start));
        auto restarted = listed("b");
        restarted.entry->endpoint.incarnation = 7;
        CHECK(registry.apply(restarted, start));
    }

    SECTION("a removed upstream is dropped at once")
    {
        CHECK(registry.apply(removed("a"), start));
        CHECK(registry.listing().size() == 1);
        CHECK_FALSE(registry.apply(removed("a"), start));
    }

    SECTION("an entry that cannot be read counts as removed")
    {
        // The change of such an entry contains no entry, like a removal.
        CHECK(registry.apply({core::upstream_id("a"), std::nullopt}, start));
        CHECK(registry.listing().size() == 1);
    }

    SECTION("a complete list removes the upstreams that it does not contain")
    {
        CHECK(registry.replace({entry("b"), entry("c")}, start));
        auto const listing = registry.listing();
        REQUIRE(listing.size() == 2);
        CHECK(listing[0].endpoint.id.value() == "b");
        CHECK(listing[1].endpoint.id.value() == "c");
        CHECK_FALSE(registry.replace({entry("b"), entry("c")}, start));
    }

    SECTION("after an outage of the list")
    {
        auto const outage_end = start + 10s;
        registry.record_list_read(start, outage_end, outage_end);

        SECTION(
            "an upstream that disappeared is kept until the grace time ends")
        {
            registry.apply(removed("a"), outage_end);
            CHECK(registry.listing().size() == 2);
            CHECK(registry.lapsed_count() == 1);
            CHECK_FALSE(registry.expire(outage_end + 2s));
            CHECK(registry.expire(outage_end + 2200ms));
            CHECK(registry.listing().size() == 1);
        }

        SECTION("an upstream that renews its lease stays")
        {
            registry.apply(removed("a"), outage_end);
            CHECK(registry.apply(listed("a"), outage_end + 1s));
            registry.expire(outage_end + 3s);
            CHECK(registry.listing().size() == 2);
        }

        SECTION("an upstream that was leaving is dropped at once")
        {
            registry.apply(listed("a", true), outage_end);
            CHECK(registry.apply(removed("a"), outage_end));
            CHECK(registry.listing().size() == 1);
        }
    }
}
