#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/replica_changes.hpp>
#include <kumquatloom/hosting/replica_paths.hpp>
#include <kumquatloom/hosting/replica_snapshot.hpp>
#include <kumquatloom/hosting/store_replica.hpp>
#include <kumquatloom/membership/read_schedule_settings.hpp>

#include <catch2/catch.hpp>

#include <charconv>
#include <chrono>
#include <cstdint>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;
using namespace std::chrono_literals;

core::time_point const start(1000s);

/// Parses a configuration that consists of its version number only.
boost::intrusive_ptr<document::document> parse(std::string_view text,
                                               core::fault_list& faults)
{
    core::log_offset version = 0;
    auto const read =
        std::from_chars(text.data(), text.data() + text.size(), version);
    if (read.ec != std::errc())
    {
        faults.push_back({"", std::string(text), "a number"});
        return nullptr;
    }
    boost::intrusive_ptr<document::document> result(new document::document);
    result->version = version;
    return result;
}

routing::upstream_change listed(std::string const& id)
{
    routing::listed_upstream entry;
    entry.endpoint.id = core::upstream_id(id);
    entry.endpoint.service = core::service_name("shop");
    entry.endpoint.host = "10.0.0.9";
    entry.endpoint.slots = 6;
    return {entry.endpoint.id, entry};
}

store_page page(std::optional<std::string> document,
                std::vector<routing::upstream_change> upstreams,
                store_position next)
{
    return {std::move(document), std::move(upstreams), false, next};
}

/// The message that a neighbour with these contents sends, encoded and decoded.
neighbour_message message_of(store_replica const& replica, core::time_point now)
{
    neighbour_message message;
    message.incarnation = reinterpret_cast<std::uintptr_t>(&replica);
    replica.fill_message(message, now);
    auto const received = decode<neighbour_message>(encode(message));
    REQUIRE(received);
    return *received;
}

} // namespace

// Guards against an older configuration replacing a newer one.
TEST_CASE("a configuration never reverts", "[hosting]")
{
    store_replica replica(parse);
    CHECK(replica.apply(page("5", {}, {1, 0}), start, start).document_changed);
    REQUIRE(replica.document()->version == 5);

    SECTION("an older or equal version is ignored")
    {
        CHECK_FALSE(replica.apply(page("4", {}, {2, 0}), start, start)
                        .document_changed);
        CHECK_FALSE(replica.apply(page("5", {}, {3, 0}), start, start)
                        .document_changed);
        CHECK(replica.document()->version == 5);
    }

    SECTION("an invalid configuration leaves the current one in force")
    {
        CHECK_FALSE(replica.apply(page("x", {}, {2, 0}), start, start)
                        .document_changed);
        CHECK(replica.document()->version == 5);
        CHECK(replica.apply(page("6", {}, {3, 0}), start, start)
                  .document_changed);
    }

    SECTION("an older snapshot of a neighbour is ignored")
    {
        store_replica old(parse);
        old.apply(page("3", {}, {9, 9}), start, start);
        CHECK_FALSE(
            replica.apply(old.snapshot(start), start, start).document_changed);
        CHECK(replica.document()->version == 5);
    }
}

// Guards against instances that miss a change or apply a wrong one.
TEST_CASE("instances follow the reads of a neighbour", "[hosting]")
{
    store_replica reader(parse);
    store_replica follower(parse);
    reader.apply(page("1", {listed("a")}, {1, 10}), start, start);

    SECTION("an empty instance needs a snapshot")
    {
        CHECK_FALSE(follower.apply(message_of(reader, start), start));
        auto const sent = reader.snapshot(start);
        auto copy = sent;
        auto const received = decode<replica_snapshot>(encode(copy));
        REQUIRE(received);
        auto const change = follower.apply(*received, start, start);
        CHECK(change.document_changed);
        CHECK(change.upstreams_changed);
        CHECK(follower.position() == reader.position());
        CHECK(follower.upstreams().listing().size() == 1);

        SECTION("later changes arrive in messages")
        {
            reader.apply(
                page({}, {listed("b")}, {1, 12}), start + 1s, start + 1s);
            auto const next =
                follower.apply(message_of(reader, start + 1s), start + 1s);
            REQUIRE(next);
            CHECK(next->upstreams_changed);
            CHECK(follower.upstreams().listing().size() == 2);
            CHECK(*follower.as_of() == start + 1s);
        }

        SECTION("a lost message is compensated by the next one")
        {
            reader.apply(
                page({}, {listed("b")}, {1, 12}), start + 1s, start + 1s);
            reader.apply(
                page({}, {listed("c")}, {1, 14}), start + 2s, start + 2s);
            REQUIRE(follower.apply(message_of(reader, start + 2s), start + 2s));
            CHECK(follower.upstreams().listing().size() == 3);
        }

        SECTION("too many lost messages require a snapshot")
        {
            for (int i = 0; i < 10; ++i)
                reader.apply(page({},
                                  {listed("n" + std::to_string(i))},
                                  {1, 12 + static_cast<unsigned>(i)}),
                             start + 1s,
                             start + 1s);
            CHECK_FALSE(
                follower.apply(message_of(reader, start + 1s), start + 1s));
        }

        SECTION("the changes of a release are fetched without the rest")
        {
            for (int i = 0; i < 100; ++i)
                reader.apply(page({},
                                  {listed("n" + std::to_string(i))},
                                  {1, 12 + static_cast<unsigned>(i)}),
                             start + 1s,
                             start + 1s);
            auto delta = reader.changes_since(follower.position(), start + 1s);
            REQUIRE(delta);
            CHECK(delta->document.empty());
            auto const decoded = decode<replica_changes>(encode(*delta));
            REQUIRE(decoded);
            CHECK(follower.apply(*decoded, start + 1s, start + 1s)
                      .upstreams_changed);
            CHECK(follower.position() == reader.position());
            CHECK(follower.upstreams().listing().size() == 101);
            CHECK(*follower.as_of() == start + 1s);

            SECTION("a removal among them is not lost")
            {
                routing::upstream_change const removal{core::upstream_id("a"),
                                                       {}};
                reader.apply(
                    page({}, {removal}, {1, 112}), start + 2s, start + 2s);
                auto const next =
                    reader.changes_since(follower.position(), start + 2s);
                REQUIRE(next);
                CHECK(next->upstreams.size() == 1);
                follower.apply(*next, start + 2s, start + 2s);
                CHECK(follower.upstreams().listing().size() == 100);
            }
        }

        SECTION("changes that are not remembered require a snapshot")
        {
            std::vector<routing::upstream_change> many;
            for (std::size_t i = 0; i <= max_remembered_changes; ++i)
                many.push_back(listed("n" + std::to_string(i)));
            reader.apply(page({}, many, {1, 700}), start + 1s, start + 1s);
            CHECK_FALSE(reader.changes_since(follower.position(), start + 1s));
        }

        SECTION("a new configuration is fetched with the changes")
        {
            reader.apply(
                page("2", {listed("b")}, {2, 11}), start + 1s, start + 1s);
            auto const delta =
                reader.changes_since(follower.position(), start + 1s);
            REQUIRE(delta);
            CHECK(follower.apply(*delta, start + 1s, start + 1s)
                      .document_changed);
            CHECK(follower.position() == reader.position());
        }

        SECTION("a new configuration requires a snapshot")
        {
            reader.apply(page("2", {}, {2, 10}), start + 1s, start + 1s);
            CHECK_FALSE(
                follower.apply(message_of(reader, start + 1s), start + 1s));
        }

        SECTION("a neighbour with an older position confirms nothing")
        {
            follower.apply(page({}, {}, {1, 20}), start + 1s, start + 1s);
            REQUIRE(follower.apply(message_of(reader, start + 5s), start + 5s));
            CHECK(*follower.as_of() == start + 1s);
        }
    }
}

// Guards against instances that ignore newer contents of one topic.
TEST_CASE("the topics of the store are followed independently", "[hosting]")
{
    store_replica first(parse);
    store_replica second(parse);
    auto const initial = page("1", {listed("a")}, {1, 10});
    for (auto* const replica : {&first, &second})
        replica->apply(initial, start, start);
    first.apply(page("2", {}, {2, 10}), start + 1s, start + 1s);
    second.apply(page({}, {listed("b")}, {1, 11}), start + 1s, start + 1s);
    store_position const newest{2, 11};

    SECTION("a message brings new upstreams to an older configuration's holder")
    {
        REQUIRE(first.apply(message_of(second, start + 1s), start + 1s));
        CHECK(first.position() == newest);
        CHECK(first.upstreams().listing().size() == 2);
    }

    SECTION("a snapshot brings a new configuration")
    {
        CHECK_FALSE(second.apply(message_of(first, start + 1s), start + 1s));
        second.apply(first.snapshot(start + 1s), start + 1s, start + 1s);
        CHECK(second.document()->version == 2);
        CHECK(second.position() == newest);
        CHECK(second.upstreams().listing().size() == 2);
    }

    SECTION("an own read that missed the configuration brings new upstreams")
    {
        first.apply(page({}, {listed("c")}, {1, 12}), start + 2s, start + 2s);
        CHECK(first.document()->version == 2);
        CHECK(first.position() == store_position{2, 12});
        CHECK(first.upstreams().listing().size() == 2);
    }
}

// Guards against a gap between regular reads that passes for an outage.
TEST_CASE("a removed upstream gets no requests at the slowest regular reads",
          "[hosting]")
{
    auto const bound = GENERATE(2s, 3s, 5s);
    auto const schedule =
        membership::read_schedule_settings::for_change_delay(bound);
    store_replica replica(parse, {schedule.max_read_gap()});
    routing::upstream_change const removal{core::upstream_id("a"), {}};
    replica.apply(
        page("1", {listed("a"), listed("b")}, {1, 10}), start, start + 100ms);

    auto const next_read = start + schedule.max_read_age + 25ms;
    replica.apply(page({}, {removal}, {1, 11}), next_read, next_read + 200ms);

    CAPTURE(bound.count());
    CHECK(replica.upstreams().listing().size() == 1);
    CHECK(replica.upstreams().lapsed_count() == 0);
    // An outage in which leases expire is longer: two heartbeats of 1.5 s.
    CHECK(schedule.max_read_gap() < 3s);
}

// Guards against instances that confirm each other's contents as fresh, each
// time slightly fresher, while no instance reads the store. A message's travel
// time makes a read look later than it was.
TEST_CASE("contents do not become fresher by being passed on", "[hosting]")
{
    constexpr auto delay = 20ms;
    store_replica reader(parse);
    store_replica first(parse);
    store_replica second(parse);
    reader.apply(page("1", {listed("a")}, {1, 10}), start, start);
    for (auto* const replica : {&first, &second})
        replica->apply(reader.snapshot(start), start, start);

    SECTION("heartbeats between instances that do not read")
    {
        for (auto now = start; now < start + 5s; now += delay)
        {
            auto const to_second = message_of(first, now);
            auto const to_first = message_of(second, now);
            auto const from_reader = message_of(reader, now);
            REQUIRE(first.apply(to_first, now + delay));
            REQUIRE(second.apply(to_second, now + delay));
            REQUIRE(first.apply(from_reader, now + delay));
        }
        CHECK(*first.as_of() <= start + delay);
        CHECK(*second.as_of() <= start + delay);
    }

    SECTION("a delayed heartbeat about an old read")
    {
        auto const late = message_of(reader, start + 100ms);
        REQUIRE(first.apply(message_of(reader, start + 100ms), start + 101ms));
        REQUIRE(first.apply(late, start + 3s));
        CHECK(*first.as_of() <= start + 1ms);
    }

    SECTION("two instances that read alternately")
    {
        // Only the second instance reads, every 700 ms.
        auto read_at = start;
        for (auto now = start; now < start + 5s; now += delay)
        {
            if (now - read_at >= 700ms)
            {
                second.apply(page({}, {}, {1, 10}), now, now);
                read_at = now;
            }
            auto const to_first = message_of(second, now);
            auto const to_second = message_of(first, now);
            REQUIRE(first.apply(to_first, now + delay));
            REQUIRE(second.apply(to_second, now + delay));
            CHECK(*first.as_of() <= read_at + delay);
            CHECK(*second.as_of() <= read_at + delay);
        }
    }
}

// Guards against malformed datagrams being accepted as messages.
TEST_CASE("only complete messages of the known version are decoded",
          "[hosting]")
{
    neighbour_message message;
    message.domain = core::failure_domain("west");
    message.reports.push_back({7, 2, -12});
    message.estimates.push_back({9, 41});
    auto const bytes = encode(message);
    auto const read = decode<neighbour_message>(bytes);
    REQUIRE(read);
    CHECK(read->reports.at(0).in_flight == 2);
    CHECK(read->reports.at(0).evidence == -12);
    CHECK(read->estimates.at(0).upstream == 9);
    CHECK(read->estimates.at(0).log_odds == 41);
    CHECK_FALSE(decode<neighbour_message>(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decode<neighbour_message>("noise"));
    // Encoding and decoding share the check of the version.
    message.version = 1;
    CHECK(encode(message).empty());
}

TEST_CASE("the target of a request for changes holds the position", "[hosting]")
{
    store_position const position{7, 4711};
    CHECK(parse_changes_target(changes_target(position)) == position);
    auto const other = GENERATE(std::string("/snapshot"),
                                std::string("/changes/7"),
                                std::string("/changes/7/"),
                                std::string("/changes//4711"),
                                std::string("/changes/7/4711/"),
                                std::string("/changes/-1/4711"));
    CHECK_FALSE(parse_changes_target(other));
}

// Guards against removed upstreams that a follower keeps for good.
TEST_CASE("a lapsed upstream in a snapshot is dropped after the grace time",
          "[hosting]")
{
    store_replica reader(parse);
    store_replica follower(parse);
    routing::upstream_change const removal{core::upstream_id("a"), {}};
    reader.apply(page("1", {listed("a"), listed("b")}, {1, 10}), start, start);
    auto const outage_end = start + 10s;
    reader.apply(page({}, {removal}, {1, 11}), outage_end, outage_end);
    REQUIRE(reader.upstreams().lapsed_count() == 1);

    follower.apply(reader.snapshot(outage_end), outage_end, outage_end);
    follower.expire(outage_end + 3s);

    CHECK(follower.upstreams().listing().size() == 1);
}

// Guards against an instance that cannot start from its neighbours' snapshots
// while a fleet is upgraded and the store is down.
TEST_CASE("a snapshot of an older build is accepted", "[hosting]")
{
    store_replica reader(parse);
    reader.apply(page("1", {listed("a"), listed("b")}, {1, 10}), start, start);
    auto snapshot = reader.snapshot(start);
    auto const bytes = encode(snapshot);
    // Older builds end before the number of lapsed upstreams and their time.
    constexpr std::size_t count_bytes = 2;
    auto const added = count_bytes + sizeof(std::uint32_t);
    auto const older =
        decode<replica_snapshot>(bytes.substr(0, bytes.size() - added));
    REQUIRE(older);
    CHECK(older->upstreams.size() == 2);
    CHECK(older->lapsed.empty());
}

// Guards against secrets of the configuration that leave the instance.
TEST_CASE("neighbours get the configuration without its secrets", "[hosting]")
{
    store_replica replica(parse,
                          {},
                          {},
                          [](std::string_view text)
                          {
                              return std::string(text.substr(0, 1));
                          });
    replica.apply(page("7 secret", {listed("u")}, {1, 1}), start, start);
    bool const is_redacted = replica.snapshot(start).document == "7";
    CHECK(is_redacted);
    auto const changes = replica.changes_since({0, 1}, start);
    REQUIRE(changes);
    bool const are_redacted = changes->document == "7";
    CHECK(are_redacted);
}

// Guards against instances that all poll a store without a configuration, since
// none of them passes on that it has read it.
TEST_CASE("an empty store is passed on to neighbours", "[hosting]")
{
    store_replica reader(parse);
    reader.apply(page(std::nullopt, {listed("a")}, {0, 1}), start, start);
    store_replica other(parse);
    REQUIRE(message_of(reader, start).has_contents);
    REQUIRE_FALSE(other.apply(message_of(reader, start), start));
    other.apply(reader.snapshot(start), start, start);
    CHECK(other.position().upstreams == 1);
    CHECK(other.upstreams().listing().size() == 1);

    SECTION("a later read of the neighbour counts for this instance")
    {
        auto const later = start + 700ms;
        reader.apply(page(std::nullopt, {}, {0, 1}), later, later);
        REQUIRE(other.apply(message_of(reader, later), later));
        CHECK(other.as_of() == later);
    }

    SECTION("the first configuration reaches it as a change")
    {
        auto const since = other.position();
        reader.apply(page("1", {}, {1, 1}), start + 1s, start + 1s);
        CHECK_FALSE(other.apply(message_of(reader, start + 1s), start + 1s));
        auto const changes = reader.changes_since(since, start + 1s);
        REQUIRE(changes);
        CHECK(other.apply(*changes, start + 1s, start + 1s).document_changed);
    }

    SECTION("it doesn't replace a configuration")
    {
        store_replica served(parse);
        served.apply(page("1", {}, {1, 0}), start, start);
        served.apply(reader.snapshot(start), start, start);
        CHECK(served.document());
        CHECK(served.position().configuration == 1);
    }

    SECTION("a configuration that can't be read here is not passed on")
    {
        reader.apply(page("odd", {}, {1, 1}), start, start);
        CHECK_FALSE(message_of(reader, start).has_contents);
    }
}
