#include <kumquatloom/request/ticket_decider.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::request;

core::organisation_name const toystall("toystall");
core::organisation_name const bakery("bakery");

ticket_table_settings small_table(std::size_t window = 8)
{
    return {window, {8, 4096, 1024}};
}

/// One process start of an instance.
struct process
{
    process(std::string const& id,
            core::incarnation incarnation,
            std::vector<ticket_key> list)
        : keys(std::move(list))
        , issuer(core::instance_id(id), incarnation, keys)
    {
    }

    ticket_decision decide(std::string_view text,
                           core::organisation_name const& organisation,
                           bool forwarded = false,
                           std::string_view body = "body")
    {
        return decider.decide({text,
                               organisation,
                               request_digest("POST", "/orders", body),
                               forwarded});
    }

    stored_response_pointer response(ticket const& item) const
    {
        boost::intrusive_ptr<stored_response> kept(new stored_response);
        kept->sequence = item.sequence;
        kept->organisation = item.organisation;
        kept->request = request_digest("POST", "/orders", "body");
        kept->body = to_text(item);
        return kept;
    }

    ticket_keys keys;
    ticket_issuer issuer;
    ticket_table table{small_table()};
    ticket_decider decider{issuer, keys, table};
};

ticket_key const old_key{1, "old secret"};
ticket_key const new_key{2, "new secret"};

} // namespace

// Guards against a ticket that runs twice, or that another organisation uses.
TEST_CASE("a caller sends a request with a ticket", "[request]")
{
    process owner("a", 5, {old_key});
    auto const item = owner.issuer.issue(toystall);
    auto const text = to_text(item);
    CHECK(parse_ticket(text) == item);

    SECTION("the owner runs it once and then answers from memory")
    {
        REQUIRE(owner.decide(text, toystall).action == ticket_action::run_here);
        CHECK(owner.decide(text, toystall).action == ticket_action::wait_here);
        owner.table.finish(owner.response(item));
        auto const resent = owner.decide(text, toystall);
        REQUIRE(resent.action == ticket_action::send_stored_response);
        CHECK(resent.response->body == text);
        // Another request under the same ticket gets no answer.
        CHECK(owner.decide(text, toystall, false, "other").action ==
              ticket_action::used_response_unknown);
    }

    SECTION("a response too large to keep is unknown")
    {
        REQUIRE(owner.decide(text, toystall).action == ticket_action::run_here);
        boost::intrusive_ptr<stored_response> large(new stored_response);
        large->sequence = item.sequence;
        large->body.assign(5000, 'x');
        owner.table.finish(large);
        CHECK(owner.table.responses().bytes() == 0);
        CHECK(owner.decide(text, toystall).action ==
              ticket_action::used_response_unknown);
    }

    SECTION("another organisation cannot use it")
    {
        CHECK(owner.decide(text, bakery).action ==
              ticket_action::invalid_not_run);
        CHECK(owner.decide(text, toystall).action == ticket_action::run_here);
    }

    SECTION("another instance passes it on, in one hop")
    {
        process other("b", 9, {old_key});
        CHECK(other.decide(text, toystall).action ==
              ticket_action::forward_to_owner);
        CHECK(other.decide(text, toystall, true).action ==
              ticket_action::used_response_unknown);
        CHECK(outcome_without_response(ticket_action::forward_to_owner) ==
              outcome::unknown);
    }

    SECTION("a restarted owner does not know")
    {
        process restarted("a", 6, {old_key});
        CHECK(restarted.decide(text, toystall).action ==
              ticket_action::used_response_unknown);
    }

    SECTION("keys are replaced")
    {
        process both("a", 5, {new_key, old_key});
        CHECK(both.decide(text, toystall).action == ticket_action::run_here);
        // The ticket may have run before its key was retired.
        process later("a", 5, {new_key});
        CHECK(later.decide(text, toystall).action ==
              ticket_action::used_response_unknown);
    }

    rc::prop("a changed text is never run",
             [&]
             {
                 process instance("a", 5, {old_key});
                 auto changed = text;
                 auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
                 auto const letter = *rc::gen::arbitrary<char>();
                 RC_PRE(changed[at] != letter);
                 changed[at] = letter;
                 auto const action = instance.decide(changed, toystall).action;
                 RC_ASSERT(action == ticket_action::invalid_not_run ||
                           action == ticket_action::used_response_unknown);
             });
}

// Guards against double runs under resends, forwards, restarts and a window
// that is far too small.
TEST_CASE("a ticket runs at most once", "[request]")
{
    rc::prop(
        "under any order of resends, forwards, endings and restarts",
        []
        {
            std::vector<std::string> const names = {"a", "b"};
            std::vector<std::unique_ptr<process>> fleet;
            core::incarnation last = 1;
            for (auto const& name : names)
                fleet.push_back(std::make_unique<process>(
                    name, ++last, std::vector{old_key}));
            std::vector<ticket> tickets;
            std::map<std::string, int> runs;
            std::set<std::string> reported_not_run;
            auto const steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
            for (auto const step : steps)
            {
                auto const at = *rc::gen::inRange<std::size_t>(0, 2);
                auto& instance = *fleet[at];
                if (step < 3 || tickets.empty())
                {
                    tickets.push_back(instance.issuer.issue(toystall));
                    continue;
                }
                auto const& item =
                    tickets[*rc::gen::inRange<std::size_t>(0, tickets.size())];
                auto const text = to_text(item);
                if (step == 3)
                {
                    fleet[at] = std::make_unique<process>(
                        names[at], ++last, std::vector{old_key});
                    continue;
                }
                if (step == 4)
                {
                    // Ends the request wherever it runs; elsewhere nothing.
                    if (item.incarnation == instance.issuer.incarnation() &&
                        instance.table.state(item.sequence) ==
                            ticket_state::running)
                        instance.table.finish(instance.response(item));
                    continue;
                }
                auto decision = instance.decide(text, toystall);
                if (decision.action == ticket_action::forward_to_owner)
                    decision = fleet[1 - at]->decide(text, toystall, true);
                if (decision.action == ticket_action::run_here)
                    ++runs[text];
                if (decision.action == ticket_action::invalid_not_run)
                    reported_not_run.insert(text);
                if (decision.action == ticket_action::send_stored_response)
                    RC_ASSERT(decision.response->body == text);
            }
            for (auto const& [text, count] : runs)
                RC_ASSERT(count == 1);
            RC_ASSERT(reported_not_run.empty());
        });

    SECTION("when many threads claim it at once")
    {
        constexpr std::uint64_t count = 20000;
        constexpr int threads = 4;
        ticket_table table(small_table(64));
        std::vector<std::atomic<int>> wins(count + 1);
        std::vector<std::thread> workers;
        for (int i = 0; i < threads; ++i)
            workers.emplace_back(
                [&]
                {
                    for (std::uint64_t n = 1; n <= count; ++n)
                        if (table.claim(n) == ticket_state::unused)
                        {
                            wins[n].fetch_add(1);
                            table.finish(n);
                        }
                });
        for (auto& worker : workers)
            worker.join();
        for (auto const& won : wins)
            REQUIRE(won.load() <= 1);
        CHECK(wins[count].load() == 1);
        CHECK(table.state(1) == ticket_state::dropped);
    }
}

// Guards against a slow old request that takes the place of a newer response.
TEST_CASE("two responses compete for one place", "[request]")
{
    response_store store({8, 4096, 1024});
    for (std::uint64_t const sequence : {9, 1})
    {
        boost::intrusive_ptr<stored_response> kept(new stored_response);
        kept->sequence = sequence;
        CHECK(store.store(kept) == (sequence == 9));
    }
    CHECK(store.find(9, 0, {}));
    CHECK_FALSE(store.find(1, 0, {}));
    CHECK(store.bytes() == store.find(9, 0, {})->bytes());
}

// Guards against a kept response that is freed while it is read, mixed up with
// another, or beyond the bound on memory.
TEST_CASE("threads store and find responses", "[request]")
{
    constexpr std::size_t bound = 8192;
    response_store store({16, bound, 1024});
    std::atomic<bool> mixed_up{false};
    std::vector<std::thread> workers;
    for (std::uint64_t i = 0; i < 4; ++i)
        workers.emplace_back(
            [&, i]
            {
                for (std::uint64_t n = 1; n < 20000; ++n)
                {
                    auto const sequence = 4 * n + i;
                    boost::intrusive_ptr<stored_response> kept(
                        new stored_response);
                    kept->sequence = sequence;
                    kept->body.assign(sequence % 800, 'x');
                    store.store(kept);
                    auto const looked_for = 4 * n + (i + 1) % 4;
                    auto const found = store.find(looked_for, 0, {});
                    if (found && (found->sequence != looked_for ||
                                  found->body.size() != looked_for % 800))
                        mixed_up = true;
                    if (store.find(sequence, 1, {}))
                        mixed_up = true;
                }
            });
    for (auto& worker : workers)
        worker.join();
    CHECK_FALSE(mixed_up);
    CHECK(store.bytes() <= bound);
}
