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

/// One incarnation of an instance.
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
        boost::intrusive_ptr<stored_response> stored(new stored_response);
        stored->sequence = item.sequence;
        stored->organisation = item.organisation;
        stored->request = request_digest("POST", "/orders", "body");
        stored->body = to_text(item);
        return stored;
    }

    ticket_keys keys;
    ticket_issuer issuer;
    ticket_table table{small_table()};
    ticket_decider decider{issuer, keys, table};
};

ticket_key const old_key{1, "old secret"};
ticket_key const new_key{2, "new secret"};

} // namespace

// Guards against running the request of a ticket twice, and against use of the
// ticket by another organisation.
TEST_CASE("a caller sends a request with a ticket", "[request]")
{
    process owner("a", 5, {old_key});
    auto const item = owner.issuer.issue(toystall);
    auto const text = to_text(item);
    CHECK(parse_ticket(text) == item);

    SECTION("the owner runs it once and then sends the stored response")
    {
        REQUIRE(owner.decide(text, toystall).action == ticket_action::run_here);
        CHECK(owner.decide(text, toystall).action == ticket_action::wait_here);
        owner.table.finish(owner.response(item));
        auto const resent = owner.decide(text, toystall);
        REQUIRE(resent.action == ticket_action::send_stored_response);
        CHECK(resent.response->body == text);
        // A different request with the same ticket gets no response.
        CHECK(owner.decide(text, toystall, false, "other").action ==
              ticket_action::used_response_unknown);
    }

    SECTION("the outcome is unknown if the response is too large to store")
    {
        REQUIRE(owner.decide(text, toystall).action == ticket_action::run_here);
        boost::intrusive_ptr<stored_response> too_large(new stored_response);
        too_large->sequence = item.sequence;
        too_large->body.assign(5000, 'x');
        owner.table.finish(too_large);
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

    SECTION("another instance forwards it at most once")
    {
        process other("b", 9, {old_key});
        CHECK(other.decide(text, toystall).action ==
              ticket_action::forward_to_owner);
        CHECK(other.decide(text, toystall, true).action ==
              ticket_action::used_response_unknown);
        CHECK(outcome_without_response(ticket_action::forward_to_owner) ==
              outcome::unknown);
    }

    SECTION("the outcome is unknown after a restart of the owner")
    {
        process restarted("a", 6, {old_key});
        CHECK(restarted.decide(text, toystall).action ==
              ticket_action::used_response_unknown);
    }

    SECTION("a ticket is valid until its key is removed")
    {
        process both("a", 5, {new_key, old_key});
        CHECK(both.decide(text, toystall).action == ticket_action::run_here);
        // The ticket may have been used before its key was removed.
        process later("a", 5, {new_key});
        CHECK(later.decide(text, toystall).action ==
              ticket_action::used_response_unknown);
    }

    rc::prop("a ticket whose text was altered is never run",
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

// Guards against running a request twice under resends, forwarding, restarts
// and a ticket table that is too small.
TEST_CASE("a ticket's request runs at most once", "[request]")
{
    rc::prop(
        "for any order of resends, forwards, completions and restarts",
        []
        {
            std::vector<std::string> const names = {"a", "b"};
            std::vector<std::unique_ptr<process>> fleet;
            core::incarnation last_incarnation = 1;
            for (auto const& name : names)
                fleet.push_back(std::make_unique<process>(
                    name, ++last_incarnation, std::vector{old_key}));
            std::vector<ticket> tickets;
            std::map<std::string, int> runs;
            std::set<std::string> reported_not_run;
            auto const steps =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
            // Steps 0 to 2 issue a ticket, 3 restarts an instance, 4 completes
            // a request, and the others send a request with a ticket.
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
                        names[at], ++last_incarnation, std::vector{old_key});
                    continue;
                }
                if (step == 4)
                {
                    // Complete the request if it runs in this incarnation.
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

    SECTION("with threads that claim it concurrently")
    {
        constexpr std::uint64_t count = 20000;
        constexpr int threads = 4;
        ticket_table table(small_table(64));
        std::vector<std::atomic<int>> claims(count + 1);
        std::vector<std::thread> workers;
        for (int i = 0; i < threads; ++i)
            workers.emplace_back(
                [&]
                {
                    for (std::uint64_t n = 1; n <= count; ++n)
                        if (table.claim(n) == ticket_state::unused)
                        {
                            claims[n].fetch_add(1);
                            table.finish(n);
                        }
                });
        for (auto& worker : workers)
            worker.join();
        for (auto const& claimed : claims)
            REQUIRE(claimed.load() <= 1);
        CHECK(claims[count].load() == 1);
        CHECK(table.state(1) == ticket_state::dropped);
    }
}

// Guards against a slow old request whose response replaces a newer one.
TEST_CASE("an older response does not replace a newer one", "[request]")
{
    // The sequence numbers 1 and 9 share one of the eight slots.
    response_store store({8, 4096, 1024});
    for (std::uint64_t const sequence : {9, 1})
    {
        boost::intrusive_ptr<stored_response> stored(new stored_response);
        stored->sequence = sequence;
        CHECK(store.store(stored) == (sequence == 9));
    }
    CHECK(store.find(9, 0, {}));
    CHECK_FALSE(store.find(1, 0, {}));
    CHECK(store.bytes() == store.find(9, 0, {})->bytes());
}

// Guards against a stored response that is freed while it is read, returned for
// another ticket, or stored beyond the bound on memory.
TEST_CASE("threads store and find responses concurrently", "[request]")
{
    constexpr std::size_t bound = 8192;
    response_store store({16, bound, 1024});
    std::atomic<bool> found_wrong_response{false};
    std::vector<std::thread> workers;
    for (std::uint64_t i = 0; i < 4; ++i)
        workers.emplace_back(
            [&, i]
            {
                for (std::uint64_t n = 1; n < 20000; ++n)
                {
                    auto const sequence = 4 * n + i;
                    boost::intrusive_ptr<stored_response> stored(
                        new stored_response);
                    stored->sequence = sequence;
                    stored->body.assign(sequence % 800, 'x');
                    store.store(stored);
                    auto const looked_for = 4 * n + (i + 1) % 4;
                    auto const found = store.find(looked_for, 0, {});
                    if (found && (found->sequence != looked_for ||
                                  found->body.size() != looked_for % 800))
                        found_wrong_response = true;
                    if (store.find(sequence, 1, {}))
                        found_wrong_response = true;
                }
            });
    for (auto& worker : workers)
        worker.join();
    CHECK_FALSE(found_wrong_response);
    CHECK(store.bytes() <= bound);
}
