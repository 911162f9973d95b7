#include <kumquatloom/limits/cost_aware_queue.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

using queue_type = cost_aware_queue<std::string>;
using names = std::vector<std::string>;

core::time_point const start(1000s);
core::organisation_name const shop("shop");
core::organisation_name const school("school");

/// A request whose target and limit are this far away and whose work is always
/// 100 ms.
start_times due_in(core::duration target, core::duration limit)
{
    return start_times_of(start + target, start + limit, {100ms, 100ms, 100ms});
}

names drain(queue_type& queue, core::time_point now)
{
    names order;
    while (auto const* next = queue.best(now))
    {
        order.push_back(*next);
        queue.serve(order.back());
    }
    return order;
}

} // namespace

// Guards against a burst in which urgent requests wait behind others, and
// against slots spent on requests that are late anyway while others become
// late.
TEST_CASE("cost-aware requests go by priority, then by slack",
          "[limits][shortage]")
{
    queue_type queue(10);
    queue.push(shop, priority::low, due_in(150ms, 1s), "low", start);
    queue.push(shop, priority::normal, due_in(500ms, 1s), "relaxed", start);
    queue.push(shop, priority::normal, due_in(300ms, 1s), "tight", start);
    CHECK(queue.top_priority() == priority::normal);

    SECTION("the least slack goes first within a priority")
    {
        CHECK(drain(queue, start) == names{"tight", "relaxed", "low"});
    }

    SECTION("a late request goes after those in time of its priority")
    {
        CHECK(drain(queue, start + 250ms) == names{"relaxed", "tight", "low"});
    }

    SECTION("of the late ones, those go first that can still meet the limit")
    {
        queue.push(
            shop, priority::normal, due_in(300ms, 400ms), "hopeless", start);
        CHECK(drain(queue, start + 450ms) ==
              names{"relaxed", "tight", "hopeless", "low"});
    }

    SECTION("an item that isn't eligible is left out")
    {
        auto const* next = queue.best(start,
                                      [](std::string const& item)
                                      {
                                          return item != "tight";
                                      });
        REQUIRE(next != nullptr);
        CHECK(*next == "relaxed");
    }
}

// Guards against an organisation with seven times its usual load that delays
// the others.
TEST_CASE("organisations take turns within a priority", "[limits][shortage]")
{
    queue_type queue(20);
    for (int i = 0; i < 6; ++i)
        queue.push(shop,
                   priority::normal,
                   due_in(500ms, 1s),
                   "shop " + std::to_string(i),
                   start);
    queue.push(school, priority::normal, due_in(600ms, 1s), "school", start);
    CHECK(queue.ahead_of(school, priority::normal, due_in(1s, 1s), start) == 3);
    auto const order = drain(queue, start);
    CHECK(order.at(1) == "school");

    SECTION("one that waited has no credit from the time without requests")
    {
        for (int i = 0; i < 4; ++i)
        {
            queue.push(shop,
                       priority::normal,
                       due_in(500ms, 1s),
                       "shop " + std::to_string(i),
                       start);
            queue.push(school,
                       priority::normal,
                       due_in(600ms, 1s),
                       "school " + std::to_string(i),
                       start);
        }
        CHECK(drain(queue, start) == names{"shop 0",
                                           "school 0",
                                           "shop 1",
                                           "school 1",
                                           "shop 2",
                                           "school 2",
                                           "shop 3",
                                           "school 3"});
    }
}

// Guards against a long overload in which the queue grows without bound, or in
// which a request is refused although a cheaper one is queued.
TEST_CASE("a full queue refuses the cheapest request", "[limits][shortage]")
{
    queue_type queue(3);
    queue.push(shop, priority::normal, due_in(500ms, 1s), "a", start);
    queue.push(shop, priority::normal, due_in(400ms, 1s), "b", start);

    SECTION("one of a lower priority")
    {
        queue.push(shop, priority::low, due_in(400ms, 1s), "low", start);
        auto const pushed =
            queue.push(shop, priority::normal, due_in(400ms, 1s), "c", start);
        CHECK(pushed.queued);
        CHECK(pushed.evicted == std::optional<std::string>("low"));
        CHECK_FALSE(
            queue.push(shop, priority::low, due_in(400ms, 1s), "d", start)
                .queued);
    }

    SECTION("one of the organisation with the most")
    {
        queue.push(shop, priority::normal, due_in(300ms, 1s), "c", start);
        auto const pushed =
            queue.push(school, priority::normal, due_in(1s, 1s), "d", start);
        CHECK(pushed.evicted == std::optional<std::string>("a"));
        CHECK_FALSE(
            queue.push(shop, priority::normal, due_in(1s, 1s), "e", start)
                .queued);
    }

    SECTION("one that is late")
    {
        queue.push(school, priority::normal, due_in(150ms, 1s), "late", start);
        auto const pushed = queue.push(
            shop, priority::normal, due_in(500ms, 1s), "c", start + 100ms);
        CHECK(pushed.evicted == std::optional<std::string>("late"));
    }
}

// Guards against requests that are held until their deadline after upstreams
// were lost, although they could have been refused at once.
TEST_CASE("requests without hope leave when the room shrinks",
          "[limits][shortage]")
{
    queue_type queue(20);
    for (int i = 0; i < 6; ++i)
        queue.push(shop,
                   i < 2 ? priority::normal : priority::low,
                   due_in(500ms, 1s),
                   std::to_string(i),
                   start);
    auto const each = [](core::duration time)
    {
        return [time](std::size_t ahead, priority)
        {
            return std::optional<core::duration>(time *
                                                 static_cast<int>(ahead));
        };
    };
    CHECK(queue.remove_hopeless(start, each(100ms)).empty());
    CHECK(queue.remove_hopeless(start, each(250ms)) == names{"4", "5"});
    CHECK(drain(queue, start) == names{"0", "1", "2", "3"});
}

// Guards against connections with many requests each that displace an ordinary
// caller or fill the queue, and against pipelined requests that starve.
TEST_CASE("connections take turns among cost-aware requests",
          "[limits][shortage][pipelined]")
{
    constexpr std::size_t connections = 400;
    constexpr std::size_t own_bound = 256;
    std::vector<connection_turn> turns(connections);
    queue_type queue(own_bound);
    std::size_t served_pipelined = 0;
    std::size_t evicted = 0;
    auto now = start;
    auto const due = [&](core::duration target)
    {
        return start_times_of(
            now + target, now + target + 1h, {100ms, 100ms, 100ms});
    };
    // The connections send three requests each in turn.
    std::size_t sent = 0;
    auto const push_crowd = [&](std::size_t requests)
    {
        for (auto const end = sent + requests; sent < end; ++sent)
            queue.push(shop,
                       priority::normal,
                       due(1h),
                       "crowd " + std::to_string(sent),
                       now,
                       &turns[sent / 3 % connections]);
    };
    push_crowd(3 * connections);
    REQUIRE(queue.size() == own_bound);

    SECTION("an ordinary request is queued and waits for a round at most")
    {
        for (int number = 0; number < 20; ++number)
        {
            now += 10ms;
            REQUIRE(queue.push(shop, priority::normal, due(1h), "ordinary", now)
                        .queued);
            std::size_t ahead = 0;
            while (*queue.best(now) != "ordinary")
            {
                queue.serve(std::string(*queue.best(now)));
                push_crowd(6);
                ++ahead;
            }
            queue.serve("ordinary");
            CHECK(ahead <= connections);
            served_pipelined += ahead;
        }
        CHECK(served_pipelined > 0);
    }

    SECTION("ordinary requests evict the pipelined ones and keep their order")
    {
        for (std::size_t number = 0; number < own_bound; ++number)
        {
            auto const pushed =
                queue.push(shop,
                           priority::normal,
                           due(1h - std::chrono::minutes(number % 2)),
                           (number % 2 == 0 ? "relaxed " : "tight ") +
                               std::to_string(number),
                           now);
            if (pushed.evicted && pushed.evicted->starts_with("crowd"))
                ++evicted;
        }
        CHECK(evicted == own_bound);
        CHECK_FALSE(
            queue.push(shop, priority::normal, due(1h), "more", now).queued);
        CHECK(queue.best(now)->starts_with("tight"));
        CHECK_FALSE(queue
                        .push(shop,
                              priority::normal,
                              due(1h),
                              "crowd",
                              now,
                              &turns.front())
                        .queued);
    }

    SECTION("one connection doesn't overtake another one by its age")
    {
        queue_type other(own_bound);
        connection_turn first;
        connection_turn second;
        for (int number = 0; number < 3; ++number)
            other.push(shop,
                       priority::normal,
                       due(1h),
                       "a" + std::to_string(number),
                       now,
                       &first);
        now += 10ms;
        other.push(shop, priority::normal, due(1h), "b", now, &second);
        other.push(shop, priority::normal, due(1h), "c", now);
        CHECK(other.ahead_of(shop, priority::normal, due(1h), now) == 1);
        CHECK(drain(other, now) == names{"c", "a0", "b", "a1", "a2"});
    }
}

// Guards against requests that are lost or served twice, and against unbounded
// state.
TEST_CASE("the cost-aware queue loses nothing", "[limits][shortage]")
{
    rc::prop(
        "any operations",
        []
        {
            cost_aware_queue<int> queue(8);
            std::vector<connection_turn> connections(2);
            std::vector<int> queued;
            auto now = start;
            int number = 0;
            auto const drop = [&](int item)
            {
                RC_ASSERT(std::erase(queued, item) == 1U);
            };
            for (auto const step : *rc::gen::container<std::vector<int>>(
                     rc::gen::inRange(0, 1000)))
            {
                now += std::chrono::milliseconds(step % 7);
                core::organisation_name const organisation(
                    std::to_string(step % 3));
                auto const level = static_cast<priority>(step / 3 % 3);
                if (step % 5 < 3)
                {
                    auto const times = start_times_of(
                        now + std::chrono::milliseconds(step),
                        now + std::chrono::milliseconds(2 * step),
                        {1ms, 5ms, 10ms});
                    auto* const connection =
                        step % 2 == 0
                            ? nullptr
                            : &connections[static_cast<std::size_t>(step % 4) /
                                           2];
                    auto const ahead = queue.ahead_of(
                        organisation, level, times, now, connection);
                    RC_ASSERT(ahead <= queue.size());
                    auto const pushed = queue.push(
                        organisation, level, times, ++number, now, connection);
                    if (pushed.queued)
                        queued.push_back(number);
                    if (pushed.evicted)
                        drop(*pushed.evicted);
                }
                else if (step % 5 == 3)
                {
                    for (auto const item : queue.remove_hopeless(
                             now,
                             [](std::size_t ahead, priority)
                             {
                                 return std::optional<core::duration>(
                                     std::chrono::milliseconds(10 * ahead));
                             }))
                        drop(item);
                }
                else if (auto const* next = queue.best(now))
                {
                    auto const item = *next;
                    queue.serve(item);
                    drop(item);
                }
                RC_ASSERT(queue.size() == queued.size());
                RC_ASSERT(queue.size() <= 8U);
            }
        });
}
