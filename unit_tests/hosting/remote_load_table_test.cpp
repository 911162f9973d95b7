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
core::failure_domain const far("south");

/// Reports of up to four upstreams, some named twice, some without load.
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

// Guards against load that is remembered of instances that are gone.
TEST_CASE("load of others is counted while it is fresh", "[hosting]")
{
    remote_load_table board;
    board.tell("10.0.0.1", {{7, 2, 0}});
    board.tell("10.0.0.2", {{7, 1, 0}, {8, 1, 0}});
    board.tell_domain(far, {{7, 4, 0}}, start);
    CHECK(board.neighbours().at(7) == 3);
    CHECK(board.total(7) == 7);

    SECTION("until its neighbour is gone and the domain's report is old")
    {
        board.keep({"10.0.0.2"}, start + 1s);
        CHECK(board.total(7) == 5);
        board.keep({"10.0.0.2"}, start + 2s);
        CHECK(board.total(7) == 1);
        board.tell("10.0.0.2", {});
        CHECK(board.total(7) == 0);
        CHECK(board.neighbours().empty());
    }

    SECTION("each change names the upstreams that it touches")
    {
        board.take_changed();
        board.tell("10.0.0.2", {{9, 1, 0}});
        auto const changed = board.take_changed();
        CHECK(std::set(changed.begin(), changed.end()) ==
              std::set<std::uint32_t>{7, 8, 9});
        CHECK(board.take_changed().empty());
    }

    SECTION("evidence without load changes nothing")
    {
        board.take_changed();
        board.tell("10.0.0.3", {{7, 0, 80}});
        CHECK(board.total(7) == 7);
        CHECK(board.take_changed().empty());
    }
}

// Guards against sums that drift away from what was told, message by message.
TEST_CASE("totals are the sums of the last messages", "[hosting]")
{
    rc::prop("for any order of messages, with upstreams named twice",
             []
             {
                 remote_load_table board;
                 std::map<std::string, std::vector<upstream_report>> told;
                 auto const steps = *rc::gen::inRange(1, 30);
                 for (int step = 0; step < steps; ++step)
                 {
                     auto const host = std::to_string(*rc::gen::inRange(0, 4));
                     if (*rc::gen::inRange(0, 5) == 0)
                     {
                         board.keep({host}, start);
                         std::erase_if(told,
                                       [&](auto const& item)
                                       {
                                           return item.first != host;
                                       });
                         continue;
                     }
                     told[host] = *reports();
                     board.tell(host, told[host]);
                 }
                 for (std::uint32_t upstream = 0; upstream < 4; ++upstream)
                 {
                     unsigned expected = 0;
                     for (auto const& [host, list] : told)
                         for (auto const& item : list)
                             if (item.upstream == upstream)
                                 expected += item.in_flight;
                     RC_ASSERT(board.total(upstream) == expected);
                 }
             });
}
