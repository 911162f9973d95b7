#include <kumquatloom/control/fleet_state.hpp>
#include <kumquatloom/document/state_snapshot.hpp>
#include <kumquatloom/peer/sync_request.hpp>
#include <kumquatloom/peer/sync_response.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <string>
#include <unit_tests/document/fleet_fixture.hpp>
#include <vector>

using namespace kumquatloom;
using namespace std::chrono_literals;
namespace fixture = kumquatloom::document::testing;

namespace
{

/// A log in memory.
struct memory_log
{
    std::vector<std::string> records;

    document::log_page page(document::log_request const& request) const
    {
        document::log_page result;
        result.next = records.size();
        auto const end =
            std::min<std::size_t>(records.size(), request.from + request.max);
        for (auto offset = request.from; offset < end; ++offset)
            result.records.push_back({offset, records[offset]});
        return result;
    }
};

/// A log with the document and some edits of section a.
memory_log log_with_edits(unsigned edits)
{
    memory_log log;
    log.records.push_back(document::to_text(fixture::genesis()));
    for (unsigned i = 0; i < edits; ++i)
        log.records.push_back(document::to_text(
            fixture::signed_edit("edit-" + std::to_string(i),
                                 "a",
                                 i,
                                 "a-team",
                                 fixture::section_text("a", "a-team", i + 1))));
    return log;
}

void read_to_end(control::fleet_state& state,
                 memory_log const& log,
                 core::time_point now)
{
    for (;;)
    {
        auto const request = state.next_read();
        if (!state.log_answered(request, log.page(request), now))
            return;
    }
}

/// Fetches what `lacking` lacks from `other`, as two instances do it.
void synchronise(control::fleet_state& lacking,
                 control::fleet_state& other,
                 core::time_point now)
{
    peer::sync_request request;
    request.from = lacking.announced().state_offset + 1;
    auto response = other.answer(request);
    std::string snapshot;
    while (response.snapshot_size != 0)
    {
        snapshot += response.snapshot_part;
        if (snapshot.size() == response.snapshot_size)
        {
            lacking.peer_snapshot(snapshot, now);
            return;
        }
        request.snapshot_offset = response.snapshot_offset;
        request.snapshot_position = snapshot.size();
        response = other.answer(request);
    }
    lacking.peer_records(response, now);
}

core::log_offset version_of(control::fleet_state const& state)
{
    return state.active_document() ? state.active_document()->version : 0;
}

} // namespace

// Guards against an instance that serves before it knows the document, or that
// goes back to an older one.
TEST_CASE("an instance follows the fleet's state", "[control]")
{
    core::time_point const start{1h};
    auto const log = log_with_edits(3);
    control::fleet_state reader({});

    SECTION("it does not serve before it knows the head of the log")
    {
        CHECK_FALSE(reader.may_serve());
        CHECK(reader.active_document() == nullptr);

        read_to_end(reader, log, start);
        CHECK(reader.may_serve());
        CHECK(version_of(reader) == 3);
    }

    SECTION("a later edit waits until the cell holds it")
    {
        read_to_end(reader, log, start);
        CHECK(reader.may_serve());
        auto const longer = log_with_edits(4);
        read_to_end(reader, longer, start + 1ms);
        std::vector<std::optional<core::log_offset>> const behind{3, 3, 3};

        CHECK_FALSE(reader.update_activation(behind, start + 2ms));
        CHECK(version_of(reader) == 3);

        SECTION("all but one member hold it")
        {
            CHECK(reader.update_activation({4, 4, 3}, start + 3ms));
            CHECK(version_of(reader) == 4);
        }
        SECTION("or its longest wait is over")
        {
            CHECK(reader.update_activation(behind, start + 1002ms));
            CHECK(version_of(reader) == 4);
        }
    }

    SECTION("a peer gets the records that it lacks")
    {
        read_to_end(reader, log, start);
        control::fleet_state newcomer({});
        synchronise(newcomer, reader, start);
        CHECK(newcomer.announced().state_offset == 4);
        CHECK(newcomer.announced().chain_digest ==
              reader.announced().chain_digest);

        SECTION("but must not serve on the word of one peer that is not sure")
        {
            newcomer.start().heard_from(core::instance_id("reader"), false, 4);
            CHECK_FALSE(newcomer.may_serve());
        }
        SECTION("and serves once enough sure members said no more")
        {
            for (char const* const name : {"one", "two"})
                newcomer.start().heard_from(core::instance_id(name), true, 4);
            CHECK(newcomer.may_serve());
            CHECK(version_of(newcomer) == 3);
        }
    }

    SECTION("a peer that lacks more than is kept gets a snapshot")
    {
        control::fleet_state_settings few;
        few.kept_records = 1;
        control::fleet_state source(few);
        read_to_end(source, log, start);
        control::fleet_state newcomer({});
        synchronise(newcomer, source, start);
        CHECK(newcomer.announced().state_offset == 4);
        CHECK(newcomer.announced().chain_digest ==
              source.announced().chain_digest);

        SECTION("and an older snapshot later changes nothing")
        {
            control::fleet_state older(few);
            read_to_end(older, log_with_edits(1), start);
            peer::sync_request whole;
            whole.from = 1;
            CHECK_FALSE(newcomer.peer_snapshot(
                older.answer(whole).snapshot_part, start));
            CHECK(newcomer.announced().state_offset == 4);
        }
    }

    SECTION("a snapshot is due after many records, and its records are short")
    {
        control::fleet_state_settings often;
        often.snapshots.records = 4;
        control::fleet_state writer(often);
        read_to_end(writer, log, start);
        CHECK(writer.snapshot_due(start));

        auto longer = log;
        for (auto& text : writer.snapshot_records())
            longer.records.push_back(std::move(text));
        read_to_end(writer, longer, start);
        CHECK_FALSE(writer.snapshot_due(start));
        CHECK_FALSE(writer.log_disagrees());

        SECTION("and the first of several parts is not a snapshot yet")
        {
            control::ledger_adapter ledger;
            document::document_reducer reducer(
                {}, document::make_ejection_reducer(ledger));
            for (std::size_t i = 0; i < log.records.size(); ++i)
                reducer.reduce({i, log.records[i]});
            auto const parts =
                document::split_snapshot(reducer.snapshot(), "parts", 256);
            REQUIRE(parts.size() > 1);
            control::fleet_state other(often);
            auto growing = log;
            for (auto const& part : parts)
            {
                CHECK(growing.records.size() >= 4);
                read_to_end(other, growing, start);
                CHECK(other.snapshot_due(start));
                growing.records.push_back(document::to_text(part));
            }
            read_to_end(other, growing, start);
            CHECK_FALSE(other.log_disagrees());
        }
    }

    SECTION("a log that was cut back is noticed and not followed")
    {
        read_to_end(reader, log, start);
        reader.log_failed();
        read_to_end(reader, log_with_edits(1), start);
        CHECK(reader.log_disagrees());
        CHECK(reader.announced().state_offset == 4);
    }
}

// Guards against states that differ, or go back, after any order of reads and
// of exchanges between instances.
TEST_CASE("instances end with the same state", "[control]")
{
    rc::prop("versions never go down, and all end at the head",
             []
             {
                 core::time_point now{1h};
                 auto const log = log_with_edits(12);
                 control::fleet_state_settings settings;
                 settings.kept_records = *rc::gen::inRange<std::size_t>(1, 12);
                 std::array<control::fleet_state, 3> states{
                     control::fleet_state(settings),
                     control::fleet_state(settings),
                     control::fleet_state(settings)};
                 std::array<core::log_offset, 3> versions{};
                 auto const index = rc::gen::inRange<std::size_t>(0, 3);
                 auto const steps = *rc::gen::inRange(0, 40);
                 for (int step = 0; step < steps; ++step)
                 {
                     now += 100ms;
                     auto const chosen = *index;
                     auto& state = states[chosen];
                     if (*rc::gen::arbitrary<bool>())
                     {
                         // Read a part of a log that is still growing.
                         auto grown = log;
                         grown.records.resize(*rc::gen::inRange<std::size_t>(
                             state.announced().state_offset, 14));
                         auto request = state.next_read();
                         request.max = *rc::gen::inRange<std::size_t>(1, 5);
                         state.log_answered(request, grown.page(request), now);
                     }
                     else
                         synchronise(state, states[*index], now);
                     state.may_serve();
                     state.update_activation({std::nullopt}, now);
                     auto const version = version_of(state);
                     RC_ASSERT(version >= versions[chosen]);
                     versions[chosen] = version;
                 }
                 for (auto& state : states)
                     read_to_end(state, log, now);
                 for (auto const& state : states)
                 {
                     RC_ASSERT(state.announced().state_offset == 13U);
                     RC_ASSERT(state.announced().chain_digest ==
                               states[0].announced().chain_digest);
                 }
             });
}
