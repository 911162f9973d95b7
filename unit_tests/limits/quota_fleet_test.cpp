#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <measure/quota_fleet.hpp>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;

core::time_point const start(100s);

/// The requests of one organisation that were admitted, compared with the
/// bound in every window and with one token bucket that sees all requests.
struct reference
{
    double rate = 0;
    double tokens = 0;
    core::time_point accrued = start;
    std::deque<core::time_point> window;
    double worst = 0;
    unsigned within_quota = 0;
    unsigned admitted = 0;

    void record(bool was_admitted,
                limits::quota_settings const& quota,
                core::time_point now)
    {
        std::chrono::duration<double> const elapsed = now - accrued;
        tokens = std::min(rate, tokens + rate * elapsed.count());
        accrued = now;
        if (tokens >= 1)
        {
            tokens -= 1;
            ++within_quota;
        }
        if (!was_admitted)
            return;
        ++admitted;
        window.push_back(now);
        while (window.front() <= now - quota.window)
            window.pop_front();
        std::chrono::duration<double> const length = quota.window;
        double const bound =
            (rate * length.count() + rate) * (1 + quota.overage) +
            quota.tolerance;
        worst = std::max(worst, static_cast<double>(window.size()) / bound);
    }
};

/// Offers the load to random running instances for a time.
class load
{
public:
    load(measure::quota_fleet& fleet,
         measure::event_queue& events,
         unsigned instances,
         std::uint64_t seed)
        : fleet_(fleet)
        , events_(events)
        , instances_(instances)
        , random_(static_cast<std::minstd_rand::result_type>(seed))
    {
        std::vector<limits::quota_limit> quotas;
        for (double const rate : {300.0, 40.0, 8.0, 2.0})
        {
            reference item;
            item.rate = rate;
            item.tokens = rate;
            items.push_back(item);
            quotas.push_back({static_cast<std::uint32_t>(items.size()),
                              static_cast<float>(rate),
                              static_cast<float>(rate)});
        }
        for (unsigned i = 0; i < instances; ++i)
            fleet_.configure(i, quotas);
    }

    /// Runs until `end` with a multiple of the usual load.
    void run_until(core::time_point end, double multiple)
    {
        constexpr auto step = 5ms;
        std::chrono::duration<double> const step_s = step;
        for (auto now = events_.now() + step; now <= end; now += step)
        {
            events_.run_until(now);
            for (std::size_t i = 0; i < items.size(); ++i)
            {
                std::poisson_distribution<int> count(multiple * items[i].rate /
                                                     1.6 * step_s.count());
                for (int left = count(random_); left > 0; --left)
                    offer(i, now);
            }
        }
    }

    double worst() const
    {
        double result = 0;
        for (auto const& item : items)
            result = std::max(result, item.worst);
        return result;
    }

    std::vector<reference> items;

private:
    void offer(std::size_t index, core::time_point now)
    {
        std::uniform_int_distribution<unsigned> choice(0, instances_ - 1);
        auto const instance = choice(random_);
        if (!fleet_.is_running(instance))
            return;
        auto const organisation = static_cast<std::uint32_t>(index + 1);
        items[index].record(
            fleet_.take(instance, organisation).admitted, quota_, now);
    }

    measure::quota_fleet& fleet_;
    measure::event_queue& events_;
    unsigned instances_;
    limits::quota_settings quota_;
    std::minstd_rand random_;
};

} // namespace

// Guards against more requests in a window than the bound when instances don't
// know of each other, and against refusals within the quota when they do.
TEST_CASE("the fleet stays within the quotas", "[quota]")
{
    auto const seed = GENERATE(std::uint64_t{1}, std::uint64_t{2});
    measure::event_queue events;
    events.run_until(start);
    measure::quota_fleet::parameters setup;
    setup.instances = 48;
    setup.loss = 0.03;
    setup.seed = seed;
    measure::quota_fleet fleet(setup, events);
    load requests(fleet, events, setup.instances, seed);
    requests.run_until(start + 5s, 1);

    SECTION("with usual load it refuses almost nothing")
    {
        auto& large = requests.items.front();
        large.within_quota = large.admitted = 0;
        requests.run_until(start + 25s, 1);
        CHECK(large.admitted >= 0.99 * large.within_quota);
    }
    SECTION("with seven times the load it serves the quota")
    {
        auto& large = requests.items.front();
        requests.run_until(start + 10s, 7);
        large.within_quota = large.admitted = 0;
        requests.run_until(start + 25s, 7);
        CHECK(large.admitted >= 0.95 * large.within_quota);
    }
    SECTION("when all organisations send far more at the same moment")
    {
        requests.run_until(start + 15s, 1);
        requests.run_until(start + 25s, 100);
    }
    SECTION("while the regions are partitioned, and afterwards")
    {
        fleet.reaches = [&](unsigned from, unsigned to)
        {
            return fleet.same_region(from, to);
        };
        requests.run_until(start + 10s, 1);
        requests.run_until(start + 20s, 7);
        fleet.reaches = [](unsigned, unsigned)
        {
            return true;
        };
        requests.run_until(start + 30s, 7);
    }
    SECTION("while datagrams between domains arrive in one direction")
    {
        fleet.reaches = [&](unsigned from, unsigned to)
        {
            return fleet.domain_of(from) <= fleet.domain_of(to);
        };
        requests.run_until(start + 10s, 1);
        requests.run_until(start + 25s, 7);
    }
    SECTION("while nobody hears a third of the instances")
    {
        fleet.reaches = [&](unsigned from, unsigned)
        {
            return from % 3 != 0;
        };
        requests.run_until(start + 10s, 1);
        requests.run_until(start + 25s, 7);
    }
    SECTION("while every instance is isolated")
    {
        fleet.reaches = [](unsigned, unsigned)
        {
            return false;
        };
        requests.run_until(start + 15s, 1);
        requests.run_until(start + 30s, 7);
    }
    SECTION("after pauses")
    {
        for (int round = 0; round < 4; ++round)
        {
            for (unsigned i = 0; i < setup.instances; i += 2)
                fleet.pause(i);
            requests.run_until(events.now() + 3s, 7);
            for (unsigned i = 0; i < setup.instances; i += 2)
                fleet.resume(i);
            requests.run_until(events.now() + 2s, 7);
        }
    }
    SECTION("when all instances restart twice within a window")
    {
        requests.run_until(start + 10s, 7);
        for (int round = 0; round < 2; ++round)
        {
            for (unsigned i = 0; i < setup.instances; ++i)
                fleet.stop(i, false);
            events.run_until(events.now() + 200ms);
            for (unsigned i = 0; i < setup.instances; ++i)
                fleet.start(i);
            requests.run_until(events.now() + 2s, 7);
        }
    }
    CHECK(requests.worst() <= 1);
}
