#include <kumquatloom/membership/neighbour_table.hpp>
#include <kumquatloom/membership/read_schedule.hpp>
#include <kumquatloom/membership/start_schedule.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::membership;
using namespace std::chrono_literals;

core::time_point const start(1000s);
constexpr auto tick = 5ms;
constexpr auto call_time = 10ms;

std::string address_of(std::size_t number)
{
    return "10.0.1." + std::to_string(100 + number);
}

/// An instance of the simulated domain.
struct simulated_instance
{
    simulated_instance(std::size_t number, core::time_point started)
        : table({}, address_of(number), number + 1)
        , first({}, started)
        , schedule({})
        , started_at(started)
        , next_heartbeat(started)
    {
    }

    neighbour_table table;
    start_schedule first;
    read_schedule schedule;
    core::time_point started_at;
    core::time_point next_heartbeat;
    std::uint32_t sequence = 0;
    bool alive = true;
    bool refused = false;
    bool listed = false;
    bool has_contents = false;
    /// Ends of the read and of the fetch in progress, and the latter's source.
    std::optional<core::time_point> read_end;
    std::optional<core::time_point> fetch_end;
    std::size_t fetch_source = 0;
};

/// Instances of one failure domain that start at about the same time, and a
/// store that knows their addresses.
class simulated_domain
{
public:
    simulated_domain(std::size_t size, unsigned seed, core::duration spread)
        : random_(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            instances.emplace_back(i, start + spread * roll() / 1000);
    }

    void run(core::duration time)
    {
        for (auto const end = now + time; now < end; now += tick)
            for (std::size_t i = 0; i < instances.size(); ++i)
                if (instances[i].alive && now >= instances[i].started_at)
                    step(i);
    }

    /// Whether each live instance has contents that it can get from the store
    /// or from a neighbour.
    bool all_served() const
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
        {
            auto const& item = instances[i];
            if (item.alive && !item.has_contents &&
                (!item.refused || is_in_touch(i)))
                return false;
        }
        return true;
    }

    std::vector<simulated_instance> instances;
    /// Pairs of a sender and a receiver between which nothing arrives.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    int lost_per_mille = 0;
    bool store_down = false;
    core::time_point now = start;
    unsigned whole_reads = 0;

private:
    /// Whether a live instance with contents can exchange messages with this
    /// one.
    bool is_in_touch(std::size_t number) const
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (instances[i].alive && instances[i].has_contents &&
                !cuts.contains({i, number}) && !cuts.contains({number, i}))
                return true;
        return false;
    }

    int roll()
    {
        return std::uniform_int_distribution<int>(0, 999)(random_);
    }

    void step(std::size_t number)
    {
        auto& self = instances[number];
        auto const is_new = !self.listed && !store_down &&
                            now >= self.started_at + 2 * call_time;
        if (is_new)
        {
            self.listed = true;
            self.first.record_list(2 * call_time, now);
            for (std::size_t i = 0; i < instances.size(); ++i)
                self.table.add_address(address_of(i), now);
            send_all(number, true);
        }
        end_transfers(number);
        if (now >= self.next_heartbeat)
            send_all(number, false);
        if (self.has_contents || self.read_end ||
            !self.schedule.is_due(self.table.own_rank(now), now) ||
            !self.first.is_due(
                self.table.start_rank(self.first.counts_silent(now), now),
                self.fetch_end.has_value(),
                now))
            return;
        self.read_end = now + call_time;
        whole_reads += store_down ? 0 : 1;
    }

    void end_transfers(std::size_t number)
    {
        auto& self = instances[number];
        if (self.fetch_end && now >= *self.fetch_end)
        {
            self.fetch_end.reset();
            if (instances[self.fetch_source].alive &&
                !cuts.contains({number, self.fetch_source}) &&
                !cuts.contains({self.fetch_source, number}))
                serve(number);
            else
                self.first.fetch_failed(address_of(self.fetch_source), now);
        }
        if (!self.read_end || now < *self.read_end)
            return;
        self.read_end.reset();
        if (!store_down && !self.refused)
            return serve(number);
        self.schedule.failed(now);
        self.first.failed(now);
    }

    void serve(std::size_t number)
    {
        instances[number].has_contents = true;
        send_all(number, false);
    }

    void send_all(std::size_t from, bool wants_reply)
    {
        instances[from].next_heartbeat = now + 250ms;
        for (std::size_t to = 0; to < instances.size(); ++to)
            if (instances[from].table.contains(address_of(to)))
                send(from, to, wants_reply);
    }

    /// Delivers a message at once; its way counts for the fetch after it.
    void send(std::size_t from, std::size_t to, bool wants_reply)
    {
        auto& target = instances[to];
        ++instances[from].sequence;
        if (!target.alive || now < target.started_at ||
            cuts.contains({from, to}) || roll() < lost_per_mille)
            return;
        target.table.record_heartbeat(
            {address_of(from), from + 1, instances[from].sequence}, now);
        if (wants_reply)
            send(to, from, false);
        if (instances[from].has_contents && !target.has_contents &&
            !target.fetch_end &&
            target.first.takes_snapshot(address_of(from),
                                        target.table.own_rank(now).size,
                                        roll() / 1000.0,
                                        now))
        {
            bool const is_cut = cuts.contains({to, from});
            target.fetch_end = now + (is_cut ? 1000ms : 2 * call_time);
            target.fetch_source = from;
        }
    }

    std::minstd_rand random_;
};

} // namespace

// Guards against a read of the whole store by each instance of a domain that
// starts, and against a domain whose reader is gone.
TEST_CASE("about one of the instances that start together reads the store",
          "[membership]")
{
    auto const size = GENERATE(as<std::size_t>(), 2, 6, 15, 37, 75);
    unsigned const seed = GENERATE(1U, 2U, 3U);
    auto const spread = GENERATE(as<std::chrono::milliseconds>(), 0ms, 300ms);
    simulated_domain domain(size, seed, spread);
    auto const reader_at = domain.instances[0].started_at + 2 * call_time +
                           start_schedule_settings{}.reply_time;

    SECTION("without a fault")
    {
        domain.run(1s);
        CHECK(domain.all_served());
        CHECK(domain.whole_reads <= 2);
    }

    SECTION("the first reader stops during its read")
    {
        domain.run(reader_at + tick - domain.now);
        domain.instances[0].alive = false;
        domain.run(2s);
        CHECK(domain.all_served());
        CHECK(domain.whole_reads <= 3);
    }

    SECTION("the store refuses only the first reader")
    {
        domain.instances[0].refused = true;
        domain.run(3s);
        CHECK(domain.all_served());
        CHECK(domain.whole_reads <= 6);
    }

    SECTION("the store is down from the middle of the first read on")
    {
        domain.run(reader_at + tick - domain.now);
        domain.store_down = true;
        domain.run(6s);
        domain.store_down = false;
        domain.run(5s);
        CHECK(domain.all_served());
        CHECK(domain.whole_reads <= 4 + size / 8);
    }

    SECTION("the store is down from before the start")
    {
        domain.store_down = true;
        domain.run(6s);
        domain.store_down = false;
        domain.run(5s);
        CHECK(domain.all_served());
        CHECK(domain.whole_reads <= 4);
    }

    SECTION("half of the domain restarts beside the other half")
    {
        for (std::size_t i = size / 2; i < size; ++i)
        {
            domain.instances[i].started_at = start;
            domain.instances[i].has_contents = true;
        }
        domain.run(1s);
        CHECK(domain.all_served());
        CHECK(domain.whole_reads == 0);
    }
}

// Guards against an instance that never gets contents although the store or a
// neighbour could give them, and against many reads because of a few faults.
TEST_CASE("every instance that starts gets contents in bounded time",
          "[membership]")
{
    rc::prop("with random losses, stops, refusals and one-way cuts",
             []
             {
                 auto const size = *rc::gen::inRange<std::size_t>(2, 40);
                 simulated_domain domain(
                     size, *rc::gen::inRange(1U, 10000U), 300ms);
                 domain.lost_per_mille = *rc::gen::inRange(0, 300);
                 unsigned faults = 0;
                 for (std::size_t i = 0; i < size / 4; ++i, ++faults)
                 {
                     auto const one = *rc::gen::inRange<std::size_t>(0, size);
                     auto const other = *rc::gen::inRange<std::size_t>(0, size);
                     domain.cuts.insert({one, other});
                     domain.instances[*rc::gen::inRange<std::size_t>(0, size)]
                         .refused = *rc::gen::arbitrary<bool>();
                 }
                 domain.run(*rc::gen::inRange(0, 100) * tick);
                 for (std::size_t i = 0; i < size / 4; ++i, ++faults)
                     domain.instances[*rc::gen::inRange<std::size_t>(0, size)]
                         .alive = false;
                 domain.run(6s);
                 RC_ASSERT(domain.all_served());
                 RC_CLASSIFY(domain.whole_reads <= 2, "at most two reads");
                 RC_ASSERT(domain.whole_reads <= 4 + 2 * faults);
             });
}
