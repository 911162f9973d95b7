#include <kumquatloom/hosting/departure_log.hpp>
#include <kumquatloom/hosting/neighbour_messenger.hpp>
#include <kumquatloom/hosting/upstream_tracker.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;
using namespace std::chrono_literals;

core::time_point const start(1000s);

routing::listed_upstream listed(std::string const& id, core::incarnation born)
{
    routing::listed_upstream entry;
    entry.endpoint.id = core::upstream_id(id);
    entry.endpoint.service = core::service_name("shop");
    entry.endpoint.host = "10.0.0.9";
    entry.endpoint.domain = core::failure_domain("west");
    entry.endpoint.region = core::region("north");
    entry.endpoint.incarnation = born;
    return entry;
}

} // namespace

// Guards against departures that reach no neighbour because a datagram is lost.
TEST_CASE("a departure is repeated a few times", "[hosting]")
{
    departure_log log;
    CHECK_FALSE(log.take_notice());
    std::map<std::uint32_t, unsigned> sent;
    auto const send_all = [&]
    {
        while (auto const notice = log.take_notice())
        {
            REQUIRE(notice->upstreams.size() <= max_departures);
            for (auto const& item : notice->upstreams)
                ++sent[item.upstream];
        }
    };

    SECTION("one departure")
    {
        log.add({7, 1});
        send_all();
        CHECK(sent == std::map<std::uint32_t, unsigned>{{7, 4}});
    }

    SECTION("more departures than fit into a notice")
    {
        for (std::uint32_t upstream = 0; upstream < 3 * max_departures;
             ++upstream)
            log.add({upstream, 1});
        send_all();
        CHECK(sent.size() == 3 * max_departures);
        for (auto const& [upstream, count] : sent)
            CHECK(count == 4);
    }

    SECTION("a notice survives the way to a neighbour")
    {
        log.add({7, 12345678901});
        auto notice = *log.take_notice();
        auto const received = decode<departure_notice>(encode(notice));
        REQUIRE(received);
        CHECK(received->upstreams == notice.upstreams);
    }
}

// Guards against a departure that another instance has learned of, and that is
// ignored or taken for that of another process.
TEST_CASE("a neighbour's notice marks the process that leaves", "[hosting]")
{
    upstream_tracker tracker(0.7);
    auto const table = routing::upstream_table::build(
        nullptr,
        {listed("a", 5), listed("b", 5)},
        {core::failure_domain("west"), core::region("north")},
        start);
    tracker.track(core::service_name("shop"), table, start);
    auto const is_leaving = [&](char const* id)
    {
        return table->find(core::upstream_id(id))->is_leaving();
    };

    SECTION("the named one")
    {
        tracker.mark_departed({{short_hash(core::upstream_id("a")), 5}});
        CHECK(is_leaving("a"));
        CHECK_FALSE(is_leaving("b"));
    }

    SECTION("not its successor")
    {
        tracker.mark_departed({{short_hash(core::upstream_id("a")), 4}});
        CHECK_FALSE(is_leaving("a"));
    }

    SECTION("nor one that is not listed")
    {
        tracker.mark_departed({{short_hash(core::upstream_id("c")), 5}});
        CHECK_FALSE(is_leaving("a"));
    }
}

// Guards against control traffic that grows with the square of the instances.
TEST_CASE("load messages are fewer with more neighbours", "[hosting]")
{
    CHECK(load_message_interval(0) == 50ms);
    CHECK(load_message_interval(12) == 50ms);
    CHECK(load_message_interval(24) == 100ms);
    CHECK(load_message_interval(36) == 150ms);
}
