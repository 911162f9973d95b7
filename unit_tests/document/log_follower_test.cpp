#include <kumquatloom/document/log_follower.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>
#include <unit_tests/document/fleet_fixture.hpp>
#include <utility>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::document;
using namespace kumquatloom::document::testing;

/// The platform's log: offsets, retention and nothing else.
struct plain_log
{
    std::vector<std::string> records;
    core::log_offset first = 0;

    void append(log_record const& record)
    {
        records.push_back(to_text(record));
    }

    core::log_offset next() const
    {
        return records.size();
    }
};

/// One instance: what it loses at a restart, and its rank before.
struct instance
{
    plain_ledger ledger;
    document_reducer reducer{{}, make_ejection_reducer(ledger)};
    log_follower follower{reducer, {3}};

    /// Does one read; false if there is nothing more to read now.
    bool poll(plain_log const& log)
    {
        auto const request = follower.next_request();
        if (request.from < log.first)
        {
            follower.handle_retention_cut(log.first);
            return true;
        }
        log_page page{log.first, log.next(), {}};
        for (auto offset = request.from;
             offset < std::min(request.from + request.max, log.next());
             ++offset)
            page.records.push_back({offset, log.records[offset]});
        auto const result = follower.handle_page(request, page);
        restored = restored || result.event == follow_event::restored;
        return result.event == follow_event::advanced ||
               result.event == follow_event::restored ||
               (result.event == follow_event::idle && !result.head);
    }

    /// Whether it ever started from a snapshot.
    bool restored = false;

    void catch_up(plain_log const& log)
    {
        while (poll(log))
        {
        }
    }
};

enum class step : std::uint8_t
{
    edit,
    stale_edit,
    foreign_edit,
    broken_edit,
    invalid_edit,
    lost_reply,
    race,
    eject,
    readmit,
    poll,
    fail,
    push,
    snapshot,
    cut,
    restart
};

/// Shows a counterexample of a property.
std::ostream& operator<<(std::ostream& out, step action)
{
    return out << "step " << static_cast<unsigned>(action);
}

/// Three instances that follow one log under random steps.
class world
{
public:
    world()
    {
        log_.append(genesis());
        for (auto& member : members_)
            member = std::make_unique<instance>();
    }

    void run(step action, unsigned choice)
    {
        auto& member = *members_[choice % members_.size()];
        auto const before = member.reducer.state().document.version;
        switch (action)
        {
        case step::poll:
            member.poll(log_);
            break;
        case step::fail:
            member.follower.failed();
            break;
        case step::push:
            push(choice);
            break;
        case step::snapshot:
            write_snapshot(member);
            break;
        case step::cut:
            log_.first = std::max(log_.first, cut_limit_);
            break;
        case step::restart:
            members_[choice % members_.size()] = std::make_unique<instance>();
            return;
        default:
            append(action, choice);
        }
        RC_ASSERT(member.reducer.state().document.version >= before);
        RC_ASSERT(!member.reducer.divergence());
    }

    /// Ends every outage and compares the instances with one that read all
    /// records from the start.
    void check_agreement()
    {
        read_all();
        auto const expected = to_text(witness_.reducer.snapshot());
        for (auto& member : members_)
        {
            member->catch_up(log_);
            RC_CLASSIFY(member->restored, "restored from a snapshot");
            RC_ASSERT(to_text(member->reducer.snapshot()) == expected);
            RC_ASSERT(member->ledger.serialise() ==
                      witness_.ledger.serialise());
        }
        check_outcomes(witness_.reducer);
    }

private:
    /// Reduces every record, whether it is still retained or not.
    void read_all()
    {
        for (auto next = witness_.reducer.state().next; next < log_.next();
             ++next)
            witness_.reducer.reduce({next, log_.records[next]});
    }

    /// Each accepted edit was applied once, and every refusal has its reason.
    void check_outcomes(document_reducer const& reducer) const
    {
        std::multiset<std::string> ids;
        for (auto const& outcome : reducer.state().outcomes)
        {
            ids.insert(outcome.id);
            auto const wanted = expected_.find(outcome.id);
            if (wanted != expected_.end())
                RC_ASSERT(outcome.verdict == wanted->second);
        }
        for (auto const& id : ids)
            RC_ASSERT(ids.count(id) == 1U);
    }

    void append(step action, unsigned choice)
    {
        auto const id = "r" + std::to_string(log_.next());
        bool const first_team = choice % 2 == 0;
        std::string const section = first_team ? "a" : "b";
        std::string const author = section + "-team";
        std::string const other = first_team ? "b-team" : "a-team";
        read_all();
        auto const& document = witness_.reducer.state().document;
        auto const text = section_text(section, author, choice + 1);
        auto edit = signed_edit(id, section, document.version, author, text);
        auto verdict = edit_verdict::accepted;
        switch (action)
        {
        case step::stale_edit:
            if (document.sections.at(section).version == 0)
                return;
            edit = signed_edit(id, section, 0, author, text);
            verdict = edit_verdict::stale_base;
            break;
        case step::foreign_edit:
            edit = signed_edit(id, section, document.version, other, text);
            verdict = edit_verdict::not_owner;
            break;
        case step::broken_edit:
            edit.content += ' ';
            verdict = edit_verdict::bad_signature;
            break;
        case step::invalid_edit:
            edit = signed_edit(id,
                               section,
                               document.version,
                               author,
                               section_text(first_team ? "b" : "a", author));
            verdict = edit_verdict::invalid_document;
            break;
        case step::eject:
            log_.append(eject_record{id,
                                     core::service_name(section),
                                     core::upstream_id("u"),
                                     choice % 10,
                                     std::nullopt});
            return;
        case step::readmit:
            log_.append(readmit_record{id,
                                       core::service_name(section),
                                       core::upstream_id("u"),
                                       choice % 10});
            return;
        case step::lost_reply:
            // The writer saw no reply and appends the same record again.
            log_.append(edit);
            break;
        case step::race:
            run_race(edit, section, author);
            return;
        default:
            break;
        }
        log_.append(edit);
        expected_.emplace(id, verdict);
    }

    /// Two operators of one team and one of the other team edit the same
    /// version; the first of the team wins, and the other team is not hindered.
    void run_race(edit_record const& edit,
                  std::string const& section,
                  std::string const& author)
    {
        log_.append(edit);
        expected_.emplace(edit.id, edit_verdict::accepted);
        auto const second = signed_edit(
            edit.id + "-second", section, edit.base, author, edit.content);
        log_.append(second);
        expected_.emplace(second.id, edit_verdict::stale_base);
        std::string const other = section == "a" ? "b" : "a";
        auto const parallel = signed_edit(edit.id + "-parallel",
                                          other,
                                          edit.base,
                                          other + "-team",
                                          section_text(other, other + "-team"));
        log_.append(parallel);
        expected_.emplace(parallel.id, edit_verdict::accepted);
    }

    void push(unsigned choice)
    {
        auto const& giver = *members_[choice % members_.size()];
        auto& taker = *members_[(choice / 3) % members_.size()];
        auto const from = taker.reducer.state().next;
        auto const until = giver.reducer.state().next;
        std::vector<log_entry> entries;
        // A duplicate in front is harmless.
        for (auto offset = from > 0 ? from - 1 : from; offset < until; ++offset)
            entries.push_back({offset, log_.records[offset]});
        auto const before = taker.reducer.state().document.version;
        taker.follower.pushed(entries, giver.reducer.state().chain);
        RC_ASSERT(taker.reducer.state().document.version >= before);
    }

    void write_snapshot(instance const& member)
    {
        if (member.reducer.state().next == 0)
            return;
        auto const id = "r" + std::to_string(log_.next());
        for (auto const& part :
             split_snapshot(member.reducer.snapshot(), id, 700))
            log_.append(part);
        // Records up to the snapshot's offset are no longer needed.
        cut_limit_ = std::max(cut_limit_, member.reducer.state().next);
    }

    plain_log log_;
    instance witness_;
    std::array<std::unique_ptr<instance>, 3> members_;
    std::map<std::string, edit_verdict> expected_;
    core::log_offset cut_limit_ = 0;
};

} // namespace

// Guards against instances that reduce one log to different documents, go
// back to an older version, or apply an edit twice.
TEST_CASE("instances that follow one log agree")
{
    rc::prop(
        "after any interleaving",
        []
        {
            // Snapshots, cuts and restarts must meet each other often
            // enough for instances to start from a snapshot.
            auto const action =
                rc::gen::weightedElement<step>({{4, step::edit},
                                                {1, step::stale_edit},
                                                {1, step::foreign_edit},
                                                {1, step::broken_edit},
                                                {1, step::invalid_edit},
                                                {2, step::lost_reply},
                                                {2, step::race},
                                                {2, step::eject},
                                                {2, step::readmit},
                                                {8, step::poll},
                                                {1, step::fail},
                                                {3, step::push},
                                                {5, step::snapshot},
                                                {4, step::cut},
                                                {3, step::restart}});
            auto const steps =
                *rc::gen::container<std::vector<std::pair<step, unsigned>>>(
                    rc::gen::pair(action, rc::gen::inRange(0U, 90U)));
            world fleet;
            for (auto const& [taken, choice] : steps)
                fleet.run(taken, choice);
            fleet.check_agreement();
        });
}

// Guards against records that are reduced although the log lost or replaced
// others.
TEST_CASE("a log that is not what it was is noticed")
{
    plain_log log;
    log.append(genesis());
    for (std::string const id : {"1", "2", "3"})
        log.append(signed_edit(id, "a", 0, "b-team", "{}"));
    instance member;
    member.catch_up(log);
    auto const state = to_text(member.reducer.snapshot());
    auto const next = log.next();
    auto const read = [&](log_page const& page)
    {
        return member.follower.handle_page(member.follower.next_request(),
                                           page);
    };

    SECTION("a shorter log")
    {
        CHECK(read({0, next - 1, {}}).event == follow_event::truncated);
        CHECK(member.follower.disagrees());

        SECTION("that grows again with other records")
        {
            log.records.back() = "other";
            log.append(signed_edit("4", "a", 0, "a-team", "{}"));
            CHECK(
                read({0, next + 1, {{next - 1, "other"}, {next, "x"}}}).event ==
                follow_event::diverged);
            member.catch_up(log);
            CHECK(to_text(member.reducer.snapshot()) == state);
        }

        SECTION("or comes back as it was")
        {
            log.append(signed_edit("4", "a", 0, "a-team", "{}"));
            member.catch_up(log);
            CHECK_FALSE(member.follower.disagrees());
            CHECK(member.reducer.state().next == next + 1);
        }
    }

    SECTION("a gap in an answer")
    {
        CHECK(read({0, next + 2, {{next + 1, "x"}}}).event ==
              follow_event::gap);
        CHECK(read({0, next + 3, {{next, "x"}, {next + 2, "x"}}}).event ==
              follow_event::gap);
        CHECK(to_text(member.reducer.snapshot()) == state);
    }

    SECTION("a peer whose records do not lead to its digest")
    {
        auto const chain =
            extend_chain(member.reducer.state().chain, next, "x");
        CHECK(member.follower.pushed({{next, "y"}}, chain).event ==
              follow_event::diverged);
        CHECK(member.reducer.state().next == next);
        CHECK(member.follower.pushed({{next, "x"}}, chain).event ==
              follow_event::advanced);
    }

    SECTION("records that are gone and no snapshot")
    {
        instance newcomer;
        log.first = 2;
        newcomer.catch_up(log);
        CHECK(newcomer.reducer.state().next == 0);

        SECTION("until somebody writes one")
        {
            for (auto const& part :
                 split_snapshot(member.reducer.snapshot(), "s"))
                log.append(part);
            newcomer.catch_up(log);
            CHECK(newcomer.reducer.state().next == log.next());
        }

        SECTION("and a snapshot that is too old does not help")
        {
            instance old;
            plain_log one;
            one.append(genesis());
            old.catch_up(one);
            for (auto const& part : split_snapshot(old.reducer.snapshot(), "s"))
                log.append(part);
            newcomer.catch_up(log);
            CHECK(newcomer.reducer.state().next == 0);
        }
    }
}
