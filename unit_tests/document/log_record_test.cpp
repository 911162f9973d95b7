#include <kumquatloom/document/active_document.hpp>
#include <kumquatloom/document/edit_report.hpp>
#include <kumquatloom/document/snapshot_policy.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <unit_tests/document/fleet_fixture.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::document;
using namespace kumquatloom::document::testing;
using namespace std::chrono_literals;

std::optional<log_record> parsed(std::string const& text)
{
    core::fault_list faults;
    return parse_record(text, faults);
}

} // namespace

// Guards against a record that is read as something else than was written.
TEST_CASE("records are read as they were written")
{
    edit_record const edit = genesis();
    eject_record const eject{
        "e", core::service_name("s"), core::upstream_id("u"), 3, 17};
    readmit_record const readmit{
        "r", core::service_name("s"), core::upstream_id("u"), 3};
    snapshot_record snapshot;
    snapshot.id = "s";
    snapshot.parts = 2;
    snapshot.part = 1;
    snapshot.data = "line\n\"\xC3\xA9\"";
    for (log_record const& record :
         std::vector<log_record>{edit, eject, readmit, snapshot})
        CHECK(parsed(to_text(record)) == record);

    SECTION("other members, types and sizes are refused")
    {
        auto const good = to_text(readmit);
        for (auto const& [from, to] :
             std::vector<std::pair<std::string, std::string>>{
                 {"\"slot\":3", "\"slot\":-3"},
                 {"\"slot\":3", "\"slot\":3,\"more\":1"},
                 {"\"readmit\"", "\"remit\""},
                 {"\"id\":\"r\"", "\"id\":\"a\\nb\""},
                 {"\"id\":\"r\"", "\"id\":\"\""},
                 {"\"service\":\"s\",", ""}})
        {
            auto bad = good;
            bad.replace(bad.find(from), from.size(), to);
            CHECK_FALSE(parsed(bad));
        }
        CHECK_FALSE(parsed(std::string(max_record_bytes + 1, ' ')));
    }

    rc::prop("damaged text is refused or read, and never more",
             [&]
             {
                 auto text = to_text(edit);
                 auto const position =
                     *rc::gen::inRange<std::size_t>(0, text.size());
                 text[position] = *rc::gen::arbitrary<char>();
                 plain_ledger ledger;
                 document_reducer reducer({}, make_ejection_reducer(ledger));
                 reducer.reduce({0, text});
                 // Only a change that leaves the signed bytes is accepted.
                 if (reducer.state().document.created)
                     RC_ASSERT(std::get<edit_record>(*parsed(text)) == edit);
             });
}

// Guards against a report that an operator's tool misreads.
TEST_CASE("an instance reports on an edit")
{
    edit_outcome const outcome{
        "i", "a", "a-team", 9, 3, 7, edit_verdict::stale_base, "why"};
    auto const report = report_of(outcome);
    CHECK(report.result == edit_result::rejected);
    CHECK(parse_edit_report(to_text(report)) == report);
    edit_report const unknown{edit_result::unknown, "i", {}, "no reply"};
    CHECK(parse_edit_report(to_text(unknown)) == unknown);
    CHECK_FALSE(parse_edit_report("{\"result\":\"accepted\"}"));
}

// Guards against a version that is in force before its offset is active.
TEST_CASE("a version is in force when its offset is active")
{
    active_document active;
    reduced_document document;
    active.reduced(document);
    document.created = true;
    for (core::log_offset const version : {2, 4, 6})
    {
        document.version = version;
        active.reduced(document);
    }
    CHECK_FALSE(active.activate(1));
    CHECK(active.activate(5));
    CHECK(active.current()->version == 4);
    CHECK_FALSE(active.activate(5));
    CHECK_FALSE(active.activate(3));
    CHECK(active.current()->version == 4);
}

// Guards against records that retention discards before a snapshot has them.
TEST_CASE("a snapshot is written in time")
{
    core::time_point const start;
    snapshot_policy policy({256, 1h}, start);
    CHECK_FALSE(policy.is_due(255, start));
    CHECK(policy.is_due(256, start));
    CHECK(policy.is_due(1, start + 1h));
    policy.seen(255, start + 30min);
    CHECK_FALSE(policy.is_due(256, start + 2h));
    CHECK_FALSE(policy.is_due(257, start + 1h));
    CHECK(policy.is_due(257, start + 90min));
}
