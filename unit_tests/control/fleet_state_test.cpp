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

/// An in-memory log.
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

/// A log that creates the document and then edits section "a" `edits` times.
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
        if (!state.apply_log_page(request, log.page(request), now))
            return;
    }
}

/// Fetches the records or the snapshot that `receiver` lacks from `sender`,
/// with the messages that instances exchange.
void synchronise(control::fleet_state& receiver,
                 control::fleet_state& sender,
                 core::time_point now)
{
    peer::sync_request request;
    request.first_missing_record = receiver.advertised_state().state_offset + 1;
    auto response = sender.make_sync_response(request);
    std::string snapshot;
    while (response.snapshot_size != 0)
    {
        snapshot += response.snapshot_part;
        if (snapshot.size() == response.snapshot_size)
        {
            receiver.restore_peer_snapshot(snapshot, now);
            return;
        }
        request.snapshot_offset = response.snapshot_offset;
        request.snapshot_position = snapshot.size();
        response = sender.make_sync_response(request);
    }
    receiver.apply_peer_records(response, now);
}

core::log_offset version_of(control::fleet_state const& state)
{
    return state.active_document() ? state.active_document()->version : 0;
}

} // namespace

// Guards against an instance that serves before it has the current document, or
// that returns to an older one.
TEST_CASE("an instance replicates the fleet's state", "[control]")
{
    core::time_point const start{1h};
    auto const log = log_with_edits(3);
    control::fleet_state reader({});

    SECTION("it is not ready before it has read to the head of the log")
    {
        CHECK_FALSE(reader.update_readiness());
        CHECK(reader.active_document() == nullptr);

        read_to_end(reader, log, start);
        CHECK(reader.update_readiness());
        CHECK(version_of(reader) == 3);
    }

    SECTION("a later edit is activated once the cell has reduced it")
    {
        read_to_end(reader, log, start);
        CHECK(reader.update_readiness());
        auto const longer = log_with_edits(4);
        read_to_end(reader, longer, start + 1ms);
        std::vector<std::optional<core::log_offset>> const behind{3, 3, 3};

        CHECK_FALSE(reader.update_activation(behind, start + 2ms));
        CHECK(version_of(reader) == 3);

        SECTION("all members but one have reduced it")
        {
            CHECK(reader.update_activation({4, 4, 3}, start + 3ms));
            CHECK(version_of(reader) == 4);
        }
        SECTION("or its maximum wait has passed")
        {
            CHECK(reader.update_activation(behind, start + 1002ms));
            CHECK(version_of(reader) == 4);
        }
    }

    SECTION("a peer receives the records that it lacks")
    {
        read_to_end(reader, log, start);
        control::fleet_state newcomer({});
        synchronise(newcomer, reader, start);
        CHECK(newcomer.advertised_state().state_offset == 4);
        CHECK(newcomer.advertised_state().chain_digest ==
              reader.advertised_state().chain_digest);

        SECTION("but is not ready after a report from one peer that is not")
        {
            newcomer.readiness().record_report(
                core::instance_id("reader"), false, 4);
            CHECK_FALSE(newcomer.update_readiness());
        }
        SECTION("and is ready once enough ready members report that offset")
        {
            for (char const* const name : {"one", "two"})
                newcomer.readiness().record_report(
                    core::instance_id(name), true, 4);
            CHECK(newcomer.update_readiness());
            CHECK(version_of(newcomer) == 3);
        }
    }

    SECTION("a peer that lacks older records than are retained gets a snapshot")
    {
        control::fleet_state_settings short_retention;
        short_retention.retained_records = 1;
        control::fleet_state source(short_retention);
        read_to_end(source, log, start);
        control::fleet_state newcomer({});
        synchronise(newcomer, source, start);
        CHECK(newcomer.advertised_state().state_offset == 4);
        CHECK(newcomer.advertised_state().chain_digest ==
              source.advertised_state().chain_digest);

        SECTION("and an older snapshot is ignored")
        {
            control::fleet_state older(short_retention);
            read_to_end(older, log_with_edits(1), start);
            peer::sync_request whole;
            whole.first_missing_record = 1;
            CHECK_FALSE(newcomer.restore_peer_snapshot(
                older.make_sync_response(whole).snapshot_part, start));
            CHECK(newcomer.advertised_state().state_offset == 4);
        }
    }

    SECTION("a snapshot is due after a number of records")
    {
        control::fleet_state_settings frequent_snapshots;
        frequent_snapshots.snapshots.records = 4;
        control::fleet_state writer(frequent_snapshots);
        read_to_end(writer, log, start);
        CHECK(writer.snapshot_due(start));

        auto longer = log;
        for (auto& text : writer.snapshot_records())
            longer.records.push_back(std::move(text));
        read_to_end(writer, longer, start);
        CHECK_FALSE(writer.snapshot_due(start));
        CHECK_FALSE(writer.log_disagrees());

        SECTION("and stays due until all of its parts are in the log")
        {
            control::ledger_adapter ledger;
            document::document_reducer reducer(
                {}, document::make_ejection_reducer(ledger));
            for (std::size_t i = 0; i < log.records.size(); ++i)
                reducer.reduce({i, log.records[i]});
            auto const parts =
                document::split_snapshot(reducer.snapshot(), "parts", 256);
            REQUIRE(parts.size() > 1);
            control::fleet_state other(frequent_snapshots);
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

    SECTION("a truncated log is detected and not followed")
    {
        read_to_end(reader, log, start);
        reader.handle_failed_read();
        read_to_end(reader, log_with_edits(1), start);
        CHECK(reader.log_disagrees());
        CHECK(reader.advertised_state().state_offset == 4);
    }
}

// Guards against replicas that differ, or whose document version decreases,
// after any order of log reads and exchanges between instances.
TEST_CASE("replicas converge", "[control]")
{
    rc::prop(
        "versions never decrease, and all replicas reach the head",
        []
        {
            core::time_point now{1h};
            auto const log = log_with_edits(12);
            control::fleet_state_settings settings;
            settings.retained_records = *rc::gen::inRange<std::size_t>(1, 12);
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
                    // Reads part of a log that is still growing.
                    auto grown = log;
                    grown.records.resize(*rc::gen::inRange<std::size_t>(
                        state.advertised_state().state_offset, 14));
                    auto request = state.next_read();
                    request.max = *rc::gen::inRange<std::size_t>(1, 5);
                    state.apply_log_page(request, grown.page(request), now);
                }
                else
                    synchronise(state, states[*index], now);
                state.update_readiness();
                state.update_activation({std::nullopt}, now);
                auto const version = version_of(state);
                RC_ASSERT(version >= versions[chosen]);
                versions[chosen] = version;
            }
            for (auto& state : states)
                read_to_end(state, log, now);
            for (auto const& state : states)
            {
                RC_ASSERT(state.advertised_state().state_offset == 13U);
                RC_ASSERT(state.advertised_state().chain_digest ==
                          states[0].advertised_state().chain_digest);
            }
        });
}
