#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <platform/configuration.hpp>
#include <platform/log_records.hpp>
#include <platform/settings_file.hpp>
#include <platform/upstream_entry.hpp>
#include <string>
#include <unit_tests/platform/platform_fixture.hpp>
#include <utility>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using platform::decode_upstream_entry;
using routing::entry_fault;

platform::region_map const regions{
    {core::failure_domain("west"), core::region("north")}};

std::string const good_entry =
    R"({"service":"shop","address":"127.0.0.1:80","zone":"west","slots":6,)"
    R"("state":"ready","warmupLeftS":0,"seq":4,"born":1764849600123})";

/// The good entry with one text replaced.
std::string changed(std::string const& before, std::string const& after)
{
    auto text = good_entry;
    return text.replace(text.find(before), before.size(), after);
}

/// A value nested `depth` times.
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::optional<entry_fault> fault_of(std::string const& entry)
{
    return decode_upstream_entry("i-1", entry, regions).fault;
}

/// Entries that another writer could leave, with the faults that they have.
std::vector<std::pair<std::string, entry_fault>> const odd_entries{
    {nested(100000), entry_fault::unreadable},
    {changed("6,", nested(40) + ","), entry_fault::unreadable},
    {changed("6,", "1e99999999999,"), entry_fault::unreadable},
    {changed("6,", "[[6]],"), entry_fault::wrong_type},
    {changed("6,", "1e999,"), entry_fault::out_of_range},
    {changed("6,", "123456789012345678901234567890,"),
     entry_fault::out_of_range},
    {changed("6,", "-6,"), entry_fault::out_of_range},
    {changed("6,", "0.5,"), entry_fault::out_of_range},
    {changed("6,", "NaN,"), entry_fault::unreadable},
    {changed("6,", "null,"), entry_fault::wrong_type},
    {changed("\"slots\":6,", ""), entry_fault::missing_field},
    {changed(":80\"", ":65616\""), entry_fault::out_of_range},
    {changed(":80\"", ":0\""), entry_fault::out_of_range},
    {changed(":80\"", ":-1\""), entry_fault::out_of_range},
    {changed("127.0.0.1", "localhost"), entry_fault::out_of_range},
    {changed("\"warmupLeftS\":0", "\"warmupLeftS\":1e300"),
     entry_fault::out_of_range},
    {changed("\"warmupLeftS\":0", "\"warmupLeftS\":-1"),
     entry_fault::out_of_range},
    {changed("1764849600123", "-5"), entry_fault::out_of_range},
    {changed("1764849600123", "1e300"), entry_fault::out_of_range},
    {changed("1764849600123", "\"today\""), entry_fault::wrong_type},
    {changed("shop", std::string(300, 's')), entry_fault::out_of_range},
    {changed("shop", std::string(200000, 's')), entry_fault::out_of_range},
    {changed("ready", "asleep"), entry_fault::unknown_state},
    {changed("west", "moon"), entry_fault::unknown_domain},
    {"7", entry_fault::unreadable},
    {"\xff\xfe", entry_fault::unreadable}};

} // namespace

// Guards against numbers that are converted although they are out of range, and
// names that do not fit into a message to the neighbours.
TEST_CASE("an odd entry names no upstream", "[platform]")
{
    REQUIRE(decode_upstream_entry("i-1", good_entry, regions).entry);

    SECTION("its fault is told")
    {
        for (auto const& [entry, fault] : odd_entries)
        {
            CAPTURE(entry.substr(0, 200));
            auto const change = decode_upstream_entry("i-1", entry, regions);
            CHECK_FALSE(change.entry);
            CHECK(change.fault == fault);
        }
    }

    SECTION("a removed entry has no fault")
    {
        CHECK_FALSE(fault_of(""));
    }

    SECTION("the last one of two equal names counts")
    {
        auto const entry = changed("\"slots\":6", "\"slots\":0,\"slots\":6");
        auto const change = decode_upstream_entry("i-1", entry, regions);
        REQUIRE(change.entry);
        CHECK(change.entry->endpoint.slots == 6);
    }

    SECTION("an id must fit into a header field and a message")
    {
        std::vector<std::string> const ids{
            "", "a b", "a\r\nb", "\xff", std::string(200, 'i')};
        for (auto const& id : ids)
            CHECK_FALSE(decode_upstream_entry(id, good_entry, regions).entry);
    }
}

// Guards against input from outside that ends the process. Run with other seeds
// by setting RC_PARAMS, and under the sanitizers with scripts/test asan.
TEST_CASE("arbitrary bytes are decoded or rejected", "[platform]")
{
    rc::prop(
        "a changed entry yields an upstream, a fault or neither",
        []
        {
            auto text = good_entry;
            auto const edits =
                *rc::gen::container<std::vector<std::pair<int, char>>>(
                    rc::gen::pair(rc::gen::inRange(
                                      0, static_cast<int>(good_entry.size())),
                                  rc::gen::arbitrary<char>()));
            for (auto const& [position, value] : edits)
                text[static_cast<std::size_t>(position)] = value;
            auto const change = decode_upstream_entry("i-1", text, regions);
            RC_ASSERT(change.entry.has_value() != change.fault.has_value());
            if (change.entry)
                RC_ASSERT(change.entry->endpoint.slots >= 1U);
        });
    rc::prop("arbitrary records, configurations and settings are harmless",
             [](std::string const& text)
             {
                 core::fault_list faults;
                 platform::decode_records(text);
                 platform::decode_configuration(text, faults);
                 platform::parse_settings_file(text, faults);
                 decode_upstream_entry(text, text, regions);
             });
}

// Guards against a listing that no instance follows any more because of one
// entry of another writer.
TEST_CASE("instances follow the list beside odd entries", "[platform]")
{
    platform_fixture fixture;
    fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{platform_response(request, "done")};
        });
    auto const put_odd_entries = [&]
    {
        fixture.with_store(
            [](stand_ins::platform_store_stand_in& store)
            {
                unsigned number = 0;
                for (auto const& [entry, fault] : odd_entries)
                    if (entry.size() < 200000)
                        store.put("keyed.servers",
                                  "odd " + std::to_string(number++) + "&x=",
                                  entry);
            });
    };
    auto const request = platform_request("GET", "/read/1");

    SECTION("they are there at the start")
    {
        put_odd_entries();
        fixture.start_ready();
        CHECK(fixture.exchange(request)->result_int() == 200);
    }

    SECTION("they come later, and the list changes after them")
    {
        fixture.start_ready();
        put_odd_entries();
        auto& later = fixture.add_upstream(
            [](received_request const& received)
            {
                return raw_reply{platform_response(received, "later")};
            });
        platform_fixture::wait_until(
            [&]
            {
                auto const response = fixture.exchange(request);
                REQUIRE(response);
                CHECK(response->result_int() == 200);
                return later.executions() != 0;
            });
    }
}
