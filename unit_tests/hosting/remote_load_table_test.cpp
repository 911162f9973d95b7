#include <kumquatloom/hosting/remote_load_table.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;
using namespace std::chrono_literals;

core::time_point const start(1000s);
core::failure_domain const other_domain("south");

/// Generates reports of up to four upstreams, with duplicates and zero load.
rc::Gen<std::vector<upstream_report>> reports()
{
    return rc::gen::container<std::vector<upstream_report>>(rc::gen::map(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)),
        [](std::pair<int, int> const& drawn)
        {
            return upstream_report{static_cast<std::uint32_t>(drawn.first),
                                   static_cast<std::uint8_t>(drawn.second),
                                   0};
        }));
}

} // namespace

// Guards against counting the load of instances that have stopped.
TEST_CASE("remote load is counted until its report expires", "[hosting]")
{
    remote_load_table table;
    table.update_neighbour("10.0.0.1", {{7, 2, 0}});
    table.update_neighbour("10.0.0.2", {{7, 1, 0}, {8, 1, 0}});
    table.update_domain(other_domain, {{7, 4, 0}}, start);
    CHECK(table.neighbour_totals().at(7) == 3);
    CHECK(table.total(7) == 7);

    SECTION("removed neighbours and expired domain reports no longer count")
    {
        table.retain({"10.0.0.2"}, start + 1s);
        CHECK(table.total(7) == 5);
        table.retain({"10.0.0.2"}, start + 2s);
        CHECK(table.total(7) == 1);
        table.update_neighbour("10.0.0.2", {});
        CHECK(table.total(7) == 0);
        CHECK(table.neighbour_totals().empty());
    }

    SECTION("a change returns the affected upstreams")
    {
        table.take_changed();
        table.update_neighbour("10.0.0.2", {{9, 1, 0}});
        auto const changed = table.take_changed();
        CHECK(std::set(changed.begin(), changed.end()) ==
              std::set<std::uint32_t>{7, 8, 9});
        CHECK(table.take_changed().empty());
    }

    SECTION("evidence without load does not change totals")
    {
        table.take_changed();
        table.update_neighbour("10.0.0.3", {{7, 0, 80}});
        CHECK(table.total(7) == 7);
        CHECK(table.take_changed().empty());
    }
}

// Guards against incrementally updated totals drifting away from the last
// reports.
TEST_CASE("totals equal the sums over the last reports", "[hosting]")
{
    rc::prop("for any order of messages, with duplicate upstreams",
             []
             {
                 remote_load_table table;
                 std::map<std::string, std::vector<upstream_report>> reported;
                 auto const steps = *rc::gen::inRange(1, 30);
                 for (int step = 0; step < steps; ++step)
                 {
                     auto const host = std::to_string(*rc::gen::inRange(0, 4));
                     if (*rc::gen::inRange(0, 5) == 0)
                     {
                         table.retain({host}, start);
                         std::erase_if(reported,
                                       [&](auto const& item)
                                       {
                                           return item.first != host;
                                       });
                         continue;
                     }
                     reported[host] = *reports();
                     table.update_neighbour(host, reported[host]);
                 }
                 for (std::uint32_t upstream = 0; upstream < 4; ++upstream)
                 {
                     unsigned expected = 0;
                     for (auto const& [host, list] : reported)
                         for (auto const& item : list)
                             if (item.upstream == upstream)
                                 expected += item.in_flight;
                     RC_ASSERT(table.total(upstream) == expected);
                 }
             });
}
