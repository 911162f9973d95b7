#include <kumquatloom/limits/rate_share.hpp>

#include <catch2/catch.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <rapidcheck/catch.h>

#include <atomic>
#include <barrier>
#include <memory>
#include <sstream>
#include <thread>
#include <variant>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

limit_key const key{"/orders", core::organisation_name("toystall")};
core::time_point const start(10h);
constexpr std::uint32_t limit_per_s = 30;
constexpr std::size_t instance_count = 3;
constexpr microtoken_rate limit = limit_per_s * microtokens_per_token;
constexpr microtoken_rate base = limit / instance_count;

/// A process of an instance that holds a share of the limit.
struct process
{
    process(std::string const& id,
            core::incarnation incarnation,
            core::time_point started,
            core::time_point now)
        : share(
              {}, key, {core::instance_id(id), incarnation, started}, base, now)
    {
    }

    rate_share share;
};

/// Admits requests at one point in time until the share refuses one.
int take_all(rate_share& share, core::time_point now, int max_taken = 1000)
{
    int taken = 0;
    while (taken < max_taken && share.try_take(now))
        ++taken;
    return taken;
}

} // namespace

// Guards against a borrower that raises its share before the lender has lowered
// its own, or that uses a borrowed rate after the lender has taken it back.
TEST_CASE("an instance borrows a part of a peer's share", "[limits]")
{
    process lender("a", 1, start - 1h, start);
    process borrower("b", 1, start - 1h, start);
    CHECK(lender.share.current(start) == base);
    take_all(borrower.share, start);
    auto const sent_at = start + 300ms;
    auto const request = borrower.share.make_request(sent_at);
    REQUIRE(request);

    SECTION("the lender lowers its share before the borrower raises its own")
    {
        auto const received = sent_at + 100ms;
        auto const grant = lender.share.handle_request(*request, received);
        REQUIRE(grant);
        CHECK(lender.share.current(received) == base - grant->granted_rate);
        REQUIRE(borrower.share.handle_grant(*grant, received));
        CHECK(borrower.share.current(received) == base + grant->granted_rate);

        SECTION("the borrower's lease ends before the lender's, without a "
                "message")
        {
            CHECK(borrower.share.current(sent_at + 10s) == base);
            lender.share.refresh(received + 10999ms);
            CHECK(lender.share.current(received + 10999ms) < base);
            lender.share.refresh(received + 11s);
            CHECK(lender.share.current(received + 11s) == base);
        }

        SECTION("a duplicate request or grant changes nothing")
        {
            auto const again =
                lender.share.handle_request(*request, received + 1s);
            REQUIRE(again);
            CHECK(lender.share.current(received + 1s) ==
                  base - grant->granted_rate);
            CHECK_FALSE(borrower.share.handle_grant(*again, received + 1s));
            CHECK(borrower.share.current(received + 1s) ==
                  base + grant->granted_rate);
        }

        SECTION("a restarted lender starts with the part that it never lends")
        {
            auto const now = received + 1s;
            process restarted("a", 2, now, now);
            CHECK(restarted.share.current(now) == base / 2);
            CHECK_FALSE(restarted.share.handle_request(*request, now));
            restarted.share.refresh(now + 11s);
            CHECK(restarted.share.current(now + 11s) == base);
        }
    }

    SECTION("a borrowed rate accrues credit only until its lease ends, even "
            "without a refresh")
    {
        auto const grant = lender.share.handle_request(*request, sent_at);
        REQUIRE(grant);
        REQUIRE(borrower.share.handle_grant(*grant, sent_at));
        take_all(borrower.share, sent_at);
        int taken = 0;
        for (auto now = sent_at; now <= sent_at + 20s; now += 100ms)
            taken += take_all(borrower.share, now);
        // 20 s of the base share and 10 s of the borrowed rate.
        auto const expected =
            (base * 20 + grant->granted_rate * 10) / microtokens_per_token;
        CHECK(taken <= expected + 1);
        CHECK(taken >= expected - 1);
    }

    SECTION("no time span accrues credit twice if the time goes back")
    {
        take_all(borrower.share, sent_at);
        for (int i = 0; i < 100; ++i)
        {
            borrower.share.refresh(sent_at + 500ms);
            borrower.share.refresh(sent_at);
        }
        CHECK(take_all(borrower.share, sent_at + 500ms) <= 5);
    }

    SECTION("a grant for another request or process is not used")
    {
        auto const grant = lender.share.handle_request(*request, sent_at);
        REQUIRE(grant);
        for (int i = 0; i < 100; ++i)
            borrower.share.try_take(sent_at + 1s);
        auto const second = borrower.share.make_request(sent_at + 1s);
        REQUIRE(second);
        REQUIRE(second->requested_rate > grant->granted_rate);
        CHECK_FALSE(borrower.share.handle_grant(*grant, sent_at + 1s));

        process restarted("b", 2, start, start);
        for (int i = 0; i < 100; ++i)
            restarted.share.try_take(start);
        REQUIRE(restarted.share.make_request(sent_at)->sequence ==
                grant->sequence);
        CHECK_FALSE(restarted.share.handle_grant(*grant, sent_at));
    }

    SECTION("a grant whose lease is over is not used")
    {
        auto const grant = lender.share.handle_request(*request, sent_at + 1s);
        REQUIRE(grant);
        CHECK_FALSE(borrower.share.handle_grant(*grant, sent_at + 10s));
        CHECK(borrower.share.current(sent_at + 10s) == base);
    }

    SECTION("a request is the same after serialization")
    {
        std::stringstream bytes;
        cereal::PortableBinaryOutputArchive out(bytes);
        out(*request);
        share_request copy;
        cereal::PortableBinaryInputArchive in(bytes);
        in(copy);
        CHECK(copy.key == key);
        CHECK(copy.borrower.value() == "b");
        CHECK(copy.sequence == request->sequence);
        CHECK(copy.requested_rate == request->requested_rate);
    }
}

// Guards against base shares that add up to more than the limit.
TEST_CASE("a limit is split into base shares", "[limits]")
{
    std::map<core::region, unsigned> const expected = {
        {core::region("nairobi"), 24}, {core::region("mombasa"), 12}};
    CHECK(base_share(36, expected, {}) == microtokens_per_token);
    CHECK(base_share(36, expected, {core::region("mombasa")}) ==
          3 * microtokens_per_token);
    rc::prop("over any regions",
             []
             {
                 std::map<core::region, unsigned> instances;
                 std::int64_t total = 0;
                 for (auto const name : {"a", "b", "c"})
                     total += instances[core::region(name)] =
                         *rc::gen::inRange(1U, 7001U);
                 auto const per_s = *rc::gen::inRange(1U, 10000000U);
                 auto const each = base_share(per_s, instances, {});
                 RC_ASSERT(each * total <= per_s * microtokens_per_token);
                 RC_ASSERT((each + 1) * total > per_s * microtokens_per_token);
             });
}

// Guards against a fleet that exceeds a rate limit when messages are lost or
// instances fail.
TEST_CASE("shares never add up to more than the limit", "[limits]")
{
    rc::prop(
        "with lost, delayed, duplicated and reordered messages, pauses, "
        "restarts and clocks of different rates",
        []
        {
            using message = std::variant<share_request, share_grant>;
            /// A message in transit, or one that a paused receiver has received
            /// but not handled.
            struct delivery
            {
                message content;
                std::size_t to = 0;
                std::optional<core::time_point> received;
            };
            auto now = 0s + 0ns;
            std::vector<double> clock_rates;
            for (std::size_t i = 0; i < instance_count; ++i)
                clock_rates.push_back(1 + 0.01 * *rc::gen::inRange(-4, 5));
            auto const clock = [&](std::size_t i)
            {
                return start + std::chrono::hours(i) +
                       core::duration(static_cast<std::int64_t>(
                           clock_rates[i] * static_cast<double>(now.count())));
            };
            std::vector<std::unique_ptr<process>> fleet;
            for (std::size_t i = 0; i < instance_count; ++i)
                fleet.push_back(std::make_unique<process>(
                    std::string(1, static_cast<char>('a' + i)),
                    1,
                    start - 1h,
                    clock(i)));
            std::vector<delivery> network;
            int taken = 0;
            int restarts = 0;
            int used_grants = 0;
            auto const steps = *rc::gen::resize(
                400,
                rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 32)));
            // Steps 0 to 7 advance the time, 8 to 11 admit requests, 12 and 13
            // refresh, 14 restarts an instance, 15 to 18 send a request, and
            // the others deal with one message in transit.
            for (auto const step : steps)
            {
                auto const i =
                    *rc::gen::inRange<std::size_t>(0, instance_count);
                auto& share = fleet[i]->share;
                if (step < 8)
                    now += std::chrono::milliseconds(
                        *rc::gen::inRange(1, step == 0 ? 12000 : 600));
                else if (step < 12)
                    taken += take_all(share, clock(i));
                else if (step < 14)
                    share.refresh(clock(i));
                else if (step == 14)
                {
                    ++restarts;
                    fleet[i] = std::make_unique<process>(
                        std::string(1, static_cast<char>('a' + i)),
                        1 + restarts,
                        clock(i),
                        clock(i));
                    // Messages that the old process had received are lost.
                    std::erase_if(network,
                                  [i](delivery const& item)
                                  {
                                      return item.to == i && item.received;
                                  });
                }
                else if (step < 19)
                {
                    taken += take_all(share, clock(i));
                    if (auto const request = share.make_request(clock(i)))
                        network.push_back({*request,
                                           (i + 1 + step % 2) % instance_count,
                                           {}});
                }
                else if (!network.empty())
                {
                    auto const position =
                        *rc::gen::inRange<std::size_t>(0, network.size());
                    auto item = network[position];
                    // Step 19 duplicates a message and step 20 loses one.
                    if (step != 19)
                        network.erase(network.begin() +
                                      static_cast<std::ptrdiff_t>(position));
                    if (step == 20)
                        continue;
                    auto const local = clock(item.to);
                    auto& receiver = fleet[item.to]->share;
                    // The receiver may pause after it has read its clock.
                    if (!item.received && step < 24)
                    {
                        item.received = local;
                        network.push_back(item);
                        continue;
                    }
                    auto const received_at = item.received.value_or(local);
                    if (auto const* grant =
                            std::get_if<share_grant>(&item.content))
                        used_grants +=
                            receiver.handle_grant(*grant, received_at) ? 1 : 0;
                    else if (auto const reply = receiver.handle_request(
                                 std::get<share_request>(item.content),
                                 received_at))
                        network.push_back(
                            {*reply,
                             static_cast<std::size_t>(
                                 reply->borrower.value()[0] - 'a'),
                             {}});
                }
                microtoken_rate sum = 0;
                for (std::size_t j = 0; j < instance_count; ++j)
                    sum += fleet[j]->share.current(clock(j));
                RC_ASSERT(sum <= limit);
            }
            RC_CLASSIFY(used_grants > 0, "with grants in use");
            // The error bound of rate_share, with clocks that run up to 4%
            // fast and a burst of one second.
            auto const seconds = std::chrono::duration<double>(now).count();
            RC_ASSERT(taken <= 1.04 * limit_per_s * seconds + limit_per_s +
                                   restarts + 1);
        });

    SECTION("with concurrent request threads and a control thread")
    {
        process instance("a", 1, start - 1h, start);
        std::atomic<int> taken{0};
        // All threads see the same time and advance to the next one together.
        std::barrier<> barrier(4);
        auto const each_time = [&](auto const& act)
        {
            for (int ms = 0; ms <= 20000; ms += 10)
            {
                act(start + std::chrono::milliseconds(ms));
                barrier.arrive_and_wait();
            }
        };
        std::vector<std::thread> workers;
        for (int i = 0; i < 3; ++i)
            workers.emplace_back(
                [&]
                {
                    each_time(
                        [&](core::time_point now)
                        {
                            if (instance.share.try_take(now))
                                taken.fetch_add(1);
                        });
                });
        each_time(
            [&](core::time_point now)
            {
                instance.share.refresh(now);
            });
        for (auto& worker : workers)
            worker.join();
        // 10/s for 20 s and the initial request. Each refresh rounds the credit
        // down by at most a thousandth of a request.
        CHECK(taken.load() <= 201);
        CHECK(taken.load() >= 198);
    }
}
