#include <catch2/catch.hpp>

#include <unit_tests/document/fleet_fixture.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::document;
using namespace kumquatloom::document::testing;

/// A reducer with a log of its own.
struct reduced_log
{
    plain_ledger ledger;
    document_reducer reducer{{}, make_ejection_reducer(ledger)};

    record_effect append(log_record const& record)
    {
        return reducer.reduce({reducer.state().next, to_text(record)});
    }

    edit_verdict verdict_of(edit_record const& edit)
    {
        append(edit);
        return reducer.find_outcome(edit.id)->verdict;
    }

    core::log_offset version() const
    {
        return reducer.state().document.version;
    }

    std::string shown(std::string_view part) const
    {
        return to_text(reducer.state().document, part);
    }
};

} // namespace

// Guards against an edit that is accepted or refused for the wrong reason.
TEST_CASE("teams edit one document")
{
    reduced_log log;
    CHECK(log.verdict_of(signed_edit("early", "a", 0, "a-team", "{}")) ==
          edit_verdict::no_document);

    SECTION("a first document must be signed with the key that it names")
    {
        auto forged = genesis();
        forged.id = "forged";
        forged.signature = key_of("a-team").sign(forged.signed_bytes());
        CHECK(log.verdict_of(forged) == edit_verdict::bad_signature);
        CHECK_FALSE(log.reducer.state().document.created);
    }

    SECTION("a configured platform key refuses another first document")
    {
        document_reducer pinned({key_of("a-team").public_bytes()},
                                make_null_ejection_reducer());
        pinned.reduce({0, to_text(genesis())});
        CHECK(pinned.find_outcome("genesis")->verdict ==
              edit_verdict::unknown_author);
    }

    REQUIRE(log.verdict_of(genesis()) == edit_verdict::accepted);
    auto const base = log.version();

    SECTION("two teams edit their sections from the same version")
    {
        CHECK(log.verdict_of(signed_edit(
                  "1", "a", base, "a-team", section_text("a", "a-team", 20))) ==
              edit_verdict::accepted);
        CHECK(log.verdict_of(signed_edit(
                  "2", "b", base, "b-team", section_text("b", "b-team", 30))) ==
              edit_verdict::accepted);
        CHECK(log.shown("a").find("\"limit_per_s\":20") != std::string::npos);
        CHECK(log.shown("b").find("\"limit_per_s\":30") != std::string::npos);

        SECTION("a second edit of a section from that version is stale")
        {
            CHECK(
                log.verdict_of(signed_edit("3",
                                           "a",
                                           base,
                                           "a-team",
                                           section_text("a", "a-team", 40))) ==
                edit_verdict::stale_base);
            auto const* const outcome = log.reducer.find_outcome("3");
            CHECK(outcome->base == base);
            CHECK(outcome->section_version == base + 1);
        }

        SECTION("the same record again changes nothing")
        {
            auto const version = log.version();
            CHECK(log.append(signed_edit("1",
                                         "a",
                                         base,
                                         "a-team",
                                         section_text("a", "a-team", 20))) ==
                  record_effect::duplicate);
            CHECK(log.version() == version);
        }
    }

    SECTION("what an author may not do is refused")
    {
        auto const text = section_text("b", "b-team", 20);
        CHECK(log.verdict_of(signed_edit("1", "b", base, "a-team", text)) ==
              edit_verdict::not_owner);
        CHECK(log.verdict_of(
                  signed_edit("2", "owners", base, "a-team", owners_text())) ==
              edit_verdict::not_owner);
        CHECK(log.verdict_of(signed_edit("3", "fleet", base, "a-team", "{}")) ==
              edit_verdict::not_owner);
        CHECK(log.verdict_of(signed_edit("4", "b", base, "b-team", "")) ==
              edit_verdict::not_owner);
        CHECK(log.verdict_of(signed_edit("5", "b", base, "c-team", text)) ==
              edit_verdict::unknown_author);
        // A team cannot hand its section to another owner.
        CHECK(log.verdict_of(signed_edit(
                  "6", "b", base, "b-team", section_text("b", "a-team"))) ==
              edit_verdict::not_owner);
        CHECK(
            log.verdict_of(signed_edit("7", "b", base + 100, "b-team", text)) ==
            edit_verdict::unknown_base);
        CHECK(log.version() == base);
    }

    SECTION("a signature covers every field")
    {
        auto const good = signed_edit(
            "1", "a", base, "a-team", section_text("a", "a-team", 20));
        auto changed = good;
        changed.id = "2";
        CHECK(log.verdict_of(changed) == edit_verdict::bad_signature);
        changed = good;
        changed.id = "3";
        changed.content = section_text("a", "a-team", 21);
        CHECK(log.verdict_of(changed) == edit_verdict::bad_signature);
        changed = signed_edit("4", "b", base, "a-team", good.content);
        changed.section = "a";
        CHECK(log.verdict_of(changed) == edit_verdict::bad_signature);
        CHECK(log.version() == base);
    }

    SECTION("a section that makes the whole invalid is refused with the place")
    {
        CHECK(log.verdict_of(signed_edit("1", "a", base, "a-team", "{")) ==
              edit_verdict::invalid_section);
        CHECK(log.verdict_of(signed_edit(
                  "2", "a", base, "a-team", section_text("b", "a-team"))) ==
              edit_verdict::invalid_document);
        CHECK(log.reducer.find_outcome("2")->detail.find(
                  "/sections/a/services/b") != std::string::npos);

        // The section c uses a service of a, which must then stay.
        std::string text = section_text("c", "b-team");
        text.replace(text.find(R"("service":"c")"), 13, R"("service":"a")");
        REQUIRE(log.verdict_of(signed_edit("3", "c", base, "platform", text)) ==
                edit_verdict::accepted);
        CHECK(log.verdict_of(
                  signed_edit("4", "a", log.version(), "platform", "")) ==
              edit_verdict::invalid_document);
        CHECK(log.verdict_of(signed_edit("5",
                                         "a",
                                         log.version(),
                                         "a-team",
                                         section_text("d", "a-team"))) ==
              edit_verdict::invalid_document);
    }

    SECTION("a section that was removed is not brought back by an old edit")
    {
        REQUIRE(log.verdict_of(signed_edit("1", "b", base, "platform", "")) ==
                edit_verdict::accepted);
        CHECK(log.verdict_of(signed_edit(
                  "2", "b", base, "platform", section_text("b", "b-team"))) ==
              edit_verdict::stale_base);
        CHECK(log.verdict_of(signed_edit("3",
                                         "b",
                                         log.version(),
                                         "platform",
                                         section_text("b", "b-team"))) ==
              edit_verdict::accepted);
    }

    SECTION("owners that leave a section without a key are refused")
    {
        auto const only_platform = R"({"platform":{"public_key_hex":")" +
                                   public_hex("platform") + "\"}}";
        CHECK(log.verdict_of(signed_edit(
                  "1", "owners", base, "platform", only_platform)) ==
              edit_verdict::invalid_document);
    }

    SECTION("an ejection reaches the ledger with the budget of its service")
    {
        eject_record const eject{"1",
                                 core::service_name("a"),
                                 core::upstream_id("u"),
                                 8,
                                 std::nullopt};
        // floor 0.7 of 30 leaves the slots 0 to 8.
        CHECK(log.append(eject) == record_effect::ejections_changed);
        CHECK(log.append(eject) == record_effect::duplicate);
        auto beyond = eject;
        beyond.id = "2";
        beyond.slot = 9;
        CHECK(log.append(beyond) == record_effect::ejection_refused);
    }
}

// Guards against a snapshot that is believed although it fits no state.
TEST_CASE("a snapshot carries the whole state")
{
    reduced_log log;
    log.append(genesis());
    log.append(eject_record{
        "e", core::service_name("a"), core::upstream_id("u"), 0, std::nullopt});
    log.append(signed_edit("1", "a", 0, "b-team", "{}"));
    auto const parts = split_snapshot(log.reducer.snapshot(), "s", 100);
    REQUIRE(parts.size() > 1);
    std::string text;
    for (auto const& part : parts)
        text += part.data;
    plain_ledger ledger;
    document_reducer copy({}, make_ejection_reducer(ledger));

    SECTION("the restored state is the same to the last byte")
    {
        REQUIRE(copy.restore(parts.front(), text));
        CHECK(to_text(copy.snapshot()) == to_text(log.reducer.snapshot()));
        CHECK(ledger.serialise() == log.ledger.serialise());
        CHECK(copy.find_outcome("1")->verdict == edit_verdict::not_owner);

        SECTION("and no older snapshot replaces it")
        {
            CHECK_FALSE(copy.restore(parts.front(), text));
        }
    }

    SECTION("a changed byte or header is refused and leaves nothing behind")
    {
        auto changed = text;
        changed.replace(
            changed.find("\"limit_per_s\":10"), 16, "\"limit_per_s\":11");
        CHECK_FALSE(copy.restore(parts.front(), changed));
        auto header = parts.front();
        ++header.offset;
        CHECK_FALSE(copy.restore(header, text));
        CHECK(copy.state().next == 0);
        CHECK(ledger.serialise().empty());
    }

    SECTION("a snapshot of another state at the same offset is noticed")
    {
        for (auto const& part : parts)
            CHECK(log.append(part) == record_effect::snapshot_seen);
        auto other = parts.front();
        other.digest[0] ^= 1U;
        CHECK(log.append(other) == record_effect::snapshot_differs);
        CHECK(log.reducer.divergence() == log.reducer.offset());
        other = parts.front();
        other.chain[0] ^= 1U;
        CHECK(log.append(other) == record_effect::snapshot_differs);
    }

    SECTION("a checkpoint is compared after further records")
    {
        while (log.reducer.state().next % 64 != 0)
            log.append(signed_edit("x", "a", 0, "a-team", "{}"));
        auto header = split_snapshot(log.reducer.snapshot(), "t").front();
        log.append(signed_edit("y", "a", 0, "a-team", "{}"));
        CHECK(log.append(header) == record_effect::snapshot_seen);
        header.digest[0] ^= 1U;
        CHECK(log.append(header) == record_effect::snapshot_differs);
    }
}
