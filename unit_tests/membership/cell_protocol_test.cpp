#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <unit_tests/membership/simulated_fleet.hpp>

using namespace kumquatloom;
using namespace kumquatloom::membership;
using namespace std::chrono_literals;

namespace
{

/// Time within which a fleet converges after a change.
constexpr auto settle = 8s;

/// Index of the first running instance of a region that reads the log; the
/// number of instances if there is none.
std::size_t reader_of(simulated_fleet const& fleet, std::string const& region)
{
    for (auto const index : fleet.running())
        if (fleet.instances[index].protocol->reader() &&
            fleet.instances[index].identity.region == core::region(region))
            return index;
    return fleet.instances.size();
}

/// Whether all running instances hold all records of the log.
bool all_hold_head(simulated_fleet const& fleet)
{
    for (auto const index : fleet.running())
        if (fleet.instances[index].state.state_offset != fleet.head())
            return false;
    return true;
}

} // namespace

TEST_CASE("a healthy fleet of 48 instances converges", "[membership]")
{
    // Guards against members, roles or records that do not reach all instances.
    simulated_fleet fleet(12, 20261204);
    fleet.faults.max_delay = 8ms;
    fleet.run(settle);
    REQUIRE(fleet.differences() == "");
    for (auto const& [region, readers] : fleet.readers())
        REQUIRE(readers == 1);

    SECTION("a record reaches all instances without syncs between regions")
    {
        fleet.append();
        fleet.run(400ms);
        REQUIRE(all_hold_head(fleet));
        REQUIRE(fleet.syncs_across_regions == 0);
    }
    SECTION("all instances stay fresh by probing readers")
    {
        fleet.run(10s,
                  [&fleet]
                  {
                      for (auto const index : fleet.running())
                          REQUIRE(
                              fleet.instances[index].protocol->freshness_age(
                                  fleet.now()) <= 2500ms);
                  });
    }
    SECTION("a crashed reader is replaced within the takeover time")
    {
        fleet.crash(reader_of(fleet, "nairobi"));
        fleet.append();
        fleet.run(1900ms);
        REQUIRE(all_hold_head(fleet));
    }
    SECTION("another member takes over from a reader that cannot reach the log")
    {
        fleet.instances[reader_of(fleet, "nairobi")].log_reachable = false;
        fleet.run(2s);
        fleet.append();
        fleet.run(1500ms);
        REQUIRE(all_hold_head(fleet));
    }
    SECTION("a log outage does not make all instances readers")
    {
        for (auto& item : fleet.instances)
            item.log_reachable = false;
        fleet.run(60s);
        for (auto const& [region, readers] : fleet.readers())
            REQUIRE(readers <= 4);
        for (auto const index : fleet.running())
            REQUIRE_FALSE(fleet.instances[index].protocol->fresh(fleet.now()));
    }
    SECTION("a lost failure domain is removed and its roles are taken over")
    {
        for (std::size_t i = 0; i < 12; ++i)
            fleet.crash(i);
        fleet.append();
        fleet.run(4s);
        REQUIRE(fleet.differences() == "");
        REQUIRE(all_hold_head(fleet));
        fleet.run(settle);
        REQUIRE(fleet.readers()[core::region("nairobi")] == 1);
    }
    SECTION("messages after a mass restart are not rejected as replays")
    {
        for (std::size_t i = 0; i < 48; ++i)
            fleet.restart(i);
        fleet.run(settle);
        REQUIRE(fleet.differences() == "");
        REQUIRE(all_hold_head(fleet));
    }
    SECTION("all instances are replaced by ones with other ids")
    {
        std::vector<std::size_t> const old = fleet.running();
        for (std::size_t i = 0; i < old.size(); i += 4)
        {
            for (std::size_t j = i; j < i + 4; ++j)
                fleet.start(
                    fleet.instances[old[j]].identity.failure_domain.value());
            fleet.run(settle);
            for (std::size_t j = i; j < i + 4; ++j)
                fleet.begin_leaving(old[j]);
            fleet.run(5s);
            for (std::size_t j = i; j < i + 4; ++j)
                fleet.crash(old[j]);
            fleet.append();
        }
        fleet.run(settle);
        REQUIRE(fleet.running().size() == 48);
        REQUIRE(fleet.differences() == "");
        REQUIRE(all_hold_head(fleet));
    }
    SECTION("partitioned regions keep working and converge again")
    {
        auto const reader = reader_of(fleet, "mombasa");
        fleet.cut_regions(true);
        // The log is located in nairobi.
        for (auto const index : fleet.running())
            if (fleet.instances[index].identity.region ==
                core::region("mombasa"))
                fleet.instances[index].log_reachable = false;
        fleet.append();
        fleet.run(60s);
        REQUIRE_FALSE(fleet.lists_for_callers(0, reader));
        REQUIRE_FALSE(fleet.instances[reader].protocol->fresh(fleet.now()));
        // Instances 46 and 47 are in mombasa like the reader.
        REQUIRE(fleet.lists_for_callers(reader, reader == 47 ? 46 : 47));
        fleet.cut_regions(false);
        // The log stays unreachable, so that records only come from peers.
        fleet.run(5s);
        REQUIRE(fleet.differences() == "");
        REQUIRE(all_hold_head(fleet));
        // Only one request and its response were sent between the regions.
        REQUIRE(fleet.syncs_across_regions == 2);
    }
    SECTION("a paused instance does not suspect others after its pause")
    {
        fleet.pause(5);
        fleet.run(10s);
        REQUIRE(fleet.state_of(6, 5) == member_state::dead);
        fleet.resume(5);
        REQUIRE_FALSE(fleet.instances[5].protocol->fresh(fleet.now()));
        fleet.run(300ms);
        REQUIRE(fleet.instances[5].protocol->pauses() == 1);
        for (std::size_t i = 0; i < 24; ++i)
            if (i != 5)
                REQUIRE(fleet.state_of(5, i) == member_state::live);
        fleet.run(settle);
        REQUIRE(fleet.differences() == "");
    }
    SECTION("a pause without buffered messages causes no suspicion")
    {
        fleet.pause(5);
        fleet.run(10s);
        fleet.instances[5].buffered.clear();
        fleet.resume(5);
        fleet.run(1s,
                  [&fleet]
                  {
                      for (std::size_t i = 0; i < 24; ++i)
                          if (i != 5)
                              REQUIRE(fleet.state_of(5, i) ==
                                      member_state::live);
                  });
    }
    SECTION("a process with an outdated incarnation learns the higher one")
    {
        auto const outdated = fleet.restart(3, -500);
        fleet.run(4s);
        auto const higher =
            fleet.instances[outdated].protocol->higher_incarnation();
        REQUIRE(higher == fleet.instances[3].identity.incarnation);
        fleet.instances[outdated].protocol->adopt_incarnation(*higher + 1);
        fleet.instances[outdated].identity.incarnation = *higher + 1;
        fleet.run(settle);
        REQUIRE(fleet.differences() == "");
    }
}

TEST_CASE("a new instance without a list joins through its seed",
          "[membership]")
{
    // Guards against a fleet that cannot grow while the platform's list is
    // unavailable.
    simulated_fleet fleet(4, 20261204);
    fleet.run(settle);
    fleet.list_reachable = false;
    fleet.start("nbi-west");
    fleet.start("msa-north");
    fleet.run(settle);
    REQUIRE(fleet.differences() == "");
}

TEST_CASE("several hundred instances form cells and converge", "[membership]")
{
    // Guards against membership that is limited to the own cell.
    simulated_fleet fleet(60, 20261204);
    fleet.faults.max_delay = 8ms;
    fleet.run(settle);
    auto const& cells = fleet.instances[0].protocol->cells();
    REQUIRE(cells.cells() == 5);
    REQUIRE(fleet.differences() == "");
    fleet.append();
    fleet.run(3s);
    REQUIRE(all_hold_head(fleet));
}

TEST_CASE("membership with one-way path failures", "[membership]")
{
    // Guards against a live member becoming dead because one path fails in one
    // direction.
    rc::prop("a path failure in one direction makes no member dead",
             [](std::uint32_t seed)
             {
                 simulated_fleet fleet(4, seed);
                 fleet.faults.max_delay = 20ms;
                 fleet.run(settle);
                 fleet.faults.loss = *rc::gen::inRange(0, 6) / 100.0;
                 std::size_t const from = *rc::gen::inRange<int>(0, 8);
                 std::size_t const to =
                     (from + *rc::gen::inRange<int>(1, 8)) % 8;
                 fleet.cut(from, to);
                 fleet.run(20s,
                           [&]
                           {
                               for (std::size_t i = 0; i < 8; ++i)
                                   for (std::size_t j = 0; j < 8; ++j)
                                       RC_ASSERT(fleet.state_of(i, j) !=
                                                 member_state::dead);
                           });
             });
}

TEST_CASE("membership under crashes", "[membership]")
{
    // Guards against crashed instances that are still considered live or listed
    // for callers.
    rc::prop("crashed members are suspected and delisted in time",
             [](std::uint32_t seed)
             {
                 simulated_fleet fleet(4, seed);
                 fleet.faults.max_delay = 20ms;
                 fleet.faults.loss = *rc::gen::inRange(0, 20) / 100.0;
                 fleet.run(settle);
                 std::set<std::size_t> crashed;
                 for (int i = *rc::gen::inRange(1, 6); i > 0; --i)
                     crashed.insert(*rc::gen::inRange<int>(0, 16));
                 for (auto const index : crashed)
                     fleet.crash(index);
                 // 1.5 s suspicion time, one step and the travel time.
                 fleet.run(1700ms);
                 for (auto const observer : fleet.running())
                     for (auto const subject : crashed)
                         if (fleet.instances[observer].identity.region ==
                             fleet.instances[subject].identity.region)
                             RC_ASSERT(fleet.state_of(observer, subject) !=
                                       member_state::live);
                 fleet.run(500ms);
                 for (auto const observer : fleet.running())
                     for (auto const subject : crashed)
                         if (fleet.instances[observer].identity.region ==
                             fleet.instances[subject].identity.region)
                             RC_ASSERT(
                                 !fleet.lists_for_callers(observer, subject));
                 fleet.run(2500ms);
                 for (auto const observer : fleet.running())
                     for (auto const subject : crashed)
                         RC_ASSERT(!fleet.lists_for_callers(observer, subject));
             });
}

TEST_CASE("membership under leaving instances", "[membership]")
{
    // Guards against callers that use an instance after it has stopped.
    rc::prop(
        "a leaving instance is not listed after the bound",
        [](std::uint32_t seed)
        {
            simulated_fleet fleet(3, seed);
            fleet.faults.max_delay =
                std::chrono::milliseconds(*rc::gen::inRange(1, 250));
            fleet.run(settle);
            std::size_t const leaver = *rc::gen::inRange<int>(0, 12);
            std::size_t const paused = *rc::gen::inRange<int>(0, 12);
            // Any part of what the leaving instance sends may be lost, even
            // before it leaves.
            for (std::size_t i = 0; i < 12; ++i)
                if (*rc::gen::inRange(0, 3) == 0)
                    fleet.cut(leaver, i);
            fleet.faults.loss = *rc::gen::inRange(0, 60) / 100.0;
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
            if (paused != leaver)
                fleet.pause(paused);
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
            fleet.begin_leaving(leaver);
            // Peers may list the instance for 4 s; 1 s is a margin. See
            // directory::drain_timer_settings.
            fleet.run(5s);
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 10000)));
            if (paused != leaver)
                fleet.resume(paused);
            fleet.run(10s,
                      [&]
                      {
                          for (auto const observer : fleet.running())
                              RC_ASSERT(
                                  !fleet.lists_for_callers(observer, leaver));
                      });
        });
}

TEST_CASE("membership under partitions", "[membership]")
{
    // Guards against members that stay separated after a partition.
    rc::prop("all live members converge after a partition",
             [](std::uint32_t seed)
             {
                 simulated_fleet fleet(4, seed);
                 fleet.faults.max_delay = 50ms;
                 fleet.run(settle);
                 std::vector<std::pair<std::size_t, std::size_t>> cuts;
                 for (int i = *rc::gen::inRange(1, 120); i > 0; --i)
                     cuts.emplace_back(*rc::gen::inRange<int>(0, 16),
                                       *rc::gen::inRange<int>(0, 16));
                 for (auto const& [from, to] : cuts)
                     fleet.cut(from, to);
                 fleet.cut_regions(*rc::gen::arbitrary<bool>());
                 fleet.append();
                 fleet.run(
                     std::chrono::milliseconds(*rc::gen::inRange(0, 20000)));
                 for (auto const& [from, to] : cuts)
                     fleet.cut(from, to, false);
                 fleet.cut_regions(false);
                 fleet.run(settle);
                 RC_ASSERT(fleet.converged());
                 RC_ASSERT(all_hold_head(fleet));
             });
}
