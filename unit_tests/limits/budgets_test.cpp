#include <kumquatloom/limits/concurrency_limit.hpp>
#include <kumquatloom/limits/deadline_admission.hpp>
#include <kumquatloom/limits/latency_quantile.hpp>
#include <kumquatloom/limits/load_shedder.hpp>
#include <kumquatloom/limits/retry_budget.hpp>
#include <kumquatloom/limits/token_bucket.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <thread>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

core::time_point const start(10h);

} // namespace

// Guards against a retry storm, in which retries of failing requests multiply
// the load.
TEST_CASE("retries stay within their budget", "[limits]")
{
    rc::prop(
        "over any time window",
        []
        {
            retry_budget_settings const settings;
            retry_budget budget(settings, start);
            auto now = start;
            struct sample
            {
                core::time_point at;
                int requests;
                int retries;
            };
            std::vector<sample> samples = {{now, 0, 0}};
            for (auto const step :
                 *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50)))
            {
                auto next = samples.back();
                now += std::chrono::milliseconds(
                    *rc::gen::inRange(0, step == 0 ? 60000 : 200));
                next.at = now;
                for (int i = 0; i < step; ++i)
                {
                    budget.record_request();
                    ++next.requests;
                    // A retry storm: each request is retried several times.
                    for (int j = 0; j < 3; ++j)
                        next.retries += budget.try_take(now) ? 1 : 0;
                }
                samples.push_back(next);
            }
            for (std::size_t i = 0; i < samples.size(); ++i)
                for (std::size_t j = i; j < samples.size(); ++j)
                {
                    auto const& a = samples[i];
                    auto const& b = samples[j];
                    double const seconds =
                        std::chrono::duration<double>(b.at - a.at).count();
                    RC_ASSERT(b.retries - a.retries <=
                              settings.burst + 0.1 * (b.requests - a.requests) +
                                  3 * seconds + 0.001);
                }
        });

    SECTION("an instance with few requests can still retry")
    {
        retry_budget budget({}, start);
        for (int i = 0; i < 10; ++i)
            CHECK(budget.try_take(start));
        CHECK_FALSE(budget.try_take(start));
        CHECK(budget.try_take(start + 334ms));
    }
}

// Guards against a bucket that permits more than its rate and burst.
TEST_CASE("a token bucket keeps to its rate and burst", "[limits]")
{
    rc::prop(
        "over any time window",
        []
        {
            auto const rate = *rc::gen::inRange(0, 1000);
            auto const burst = *rc::gen::inRange(1, 20);
            token_bucket bucket(
                {static_cast<double>(rate), static_cast<double>(burst)}, start);
            auto now = start;
            std::vector<std::pair<core::time_point, int>> taken = {{now, 0}};
            for (auto const ms : *rc::gen::container<std::vector<int>>(
                     rc::gen::inRange(0, 100)))
            {
                now += std::chrono::milliseconds(ms);
                int count = taken.back().second;
                while (bucket.try_take(now))
                    ++count;
                taken.emplace_back(now, count);
            }
            for (auto const& [from, before] : taken)
                for (auto const& [to, after] : taken)
                    if (to >= from)
                        RC_ASSERT(
                            after - before <=
                            burst +
                                rate * std::chrono::duration<double>(to - from)
                                           .count() +
                                0.001);
        });

    SECTION("with concurrent threads")
    {
        token_bucket bucket({0, 1000}, start);
        std::atomic<int> taken{0};
        std::vector<std::thread> workers;
        for (int i = 0; i < 4; ++i)
            workers.emplace_back(
                [&]
                {
                    for (int j = 0; j < 1000; ++j)
                        if (bucket.try_take(start))
                            taken.fetch_add(1);
                });
        for (auto& worker : workers)
            worker.join();
        CHECK(taken.load() == 1000);
    }
}

// Guards against sending an upstream more requests than it can process, and
// against a limit that never recovers.
TEST_CASE("the concurrency limit adapts", "[limits]")
{
    concurrency_limit limit({}, 6);
    auto const run = [&](concurrency_sample sample, core::duration latency)
    {
        unsigned acquired = 0;
        while (limit.try_acquire())
            ++acquired;
        for (unsigned i = 0; i < acquired; ++i)
            limit.release(sample, latency);
        return acquired;
    };
    CHECK(run(concurrency_sample::answered, 10ms) == 6);

    SECTION("slow responses lower it and fast ones raise it again")
    {
        for (int i = 0; i < 20; ++i)
            run(concurrency_sample::answered, 200ms);
        CHECK(limit.limit() <= 2);
        for (int i = 0; i < 100; ++i)
            run(concurrency_sample::answered, 10ms);
        CHECK(limit.limit() == 6);
    }

    SECTION("refusals lower it, but never below one")
    {
        for (int i = 0; i < 100; ++i)
            run(concurrency_sample::overload, 0ms);
        CHECK(limit.limit() == 1);
        CHECK(limit.in_flight() == 0);
    }

    rc::prop("any samples keep it between one and the number of slots",
             []
             {
                 auto const slots = *rc::gen::inRange(1U, 50U);
                 concurrency_limit any({}, slots);
                 for (auto const step : *rc::gen::container<std::vector<int>>(
                          rc::gen::inRange(0, 2000)))
                 {
                     auto const before = any.in_flight();
                     if (any.try_acquire())
                         RC_ASSERT(before < any.limit());
                     if (any.in_flight() > 0 && step % 2 == 0)
                         any.release(static_cast<concurrency_sample>(step % 3),
                                     std::chrono::milliseconds(step));
                     RC_ASSERT(any.limit() >= 1U);
                     RC_ASSERT(any.limit() <= slots);
                 }
             });
}

// Guards against queueing requests that would miss their deadline, and against
// an outdated estimate that refuses all requests forever.
TEST_CASE("requests are admitted by their deadline", "[limits]")
{
    deadline_admission admission({});
    CHECK(admission.admits(1ms, 100, 1, start));
    admission.record(100ms, start);
    CHECK(admission.estimate(4, 2) == 300ms);
    CHECK(admission.admits(300ms, 4, 2, start));
    CHECK_FALSE(admission.admits(299ms, 4, 2, start));
    CHECK_FALSE(admission.admits(0ms, 0, 2, start));
    // No sample arrived for a second, so that the estimate is ignored.
    CHECK(admission.admits(10ms, 0, 2, start + 1s));
}

// Guards against shedding requests of high priority before others.
TEST_CASE("load is shed by priority", "[limits]")
{
    load_shedder shedder({10, 90, 70});
    for (auto const& [value, capacity] : {std::pair(priority::low, 7),
                                          std::pair(priority::normal, 9),
                                          std::pair(priority::high, 10)})
    {
        while (shedder.try_admit(value))
        {
        }
        CHECK(shedder.requests() == static_cast<std::size_t>(capacity));
        CHECK(shedder.shed().value(value) == 1);
        CHECK(parse_priority(to_string(value)) == value);
    }
    shedder.release();
    CHECK_FALSE(shedder.try_admit(priority::normal));
    CHECK(shedder.try_admit(priority::high));
}

// Guards against a hedging delay at which too many requests or none are hedged.
TEST_CASE("the latency quantile follows the samples", "[limits]")
{
    latency_quantile quantile({});
    for (int i = 0; i < 20000; ++i)
        quantile.record(std::chrono::milliseconds(1 + i * 37 % 100));
    CHECK(quantile.value() > 80ms);
    CHECK(quantile.value() < 115ms);
}
