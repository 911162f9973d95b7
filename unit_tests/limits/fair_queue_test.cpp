#include <kumquatloom/limits/fair_queue.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;

core::organisation_name const burst("burst");
core::organisation_name const quiet("quiet");

} // namespace

// Guards against an organisation whose burst delays or displaces the others.
TEST_CASE("an organisation sends a burst", "[limits]")
{
    fair_queue<int> queue({10, 8});
    for (int i = 0; i < 20; ++i)
        CHECK(queue.push(burst, i).queued == (i < 8));

    SECTION("another organisation waits for one item only")
    {
        CHECK(queue.push(quiet, 100).queued);
        CHECK(queue.pop() == 0);
        CHECK(queue.pop() == 100);
        CHECK(queue.pop() == 1);
    }

    SECTION("in a full queue the burst gives up its newest items")
    {
        for (int i = 0; i < 2; ++i)
            CHECK_FALSE(queue.push(quiet, 100 + i).evicted);
        auto const pushed = queue.push(quiet, 102);
        CHECK(pushed.queued);
        CHECK(pushed.evicted == 7);
        CHECK(queue.size() == 10);
    }

    rc::prop("every item leaves once, in order, and a newcomer gets a place",
             []
             {
                 fair_queue<int> any({12, 6});
                 std::map<int, std::set<int>> waiting;
                 int next = 0;
                 for (auto const step : *rc::gen::container<std::vector<int>>(
                          rc::gen::inRange(0, 6)))
                 {
                     if (step == 5)
                     {
                         auto const item = any.pop();
                         RC_ASSERT(item.has_value() != waiting.empty());
                         if (!item)
                             continue;
                         // Items are numbered so that they name their owner.
                         auto& line = waiting[*item % 5];
                         RC_ASSERT(!line.empty());
                         RC_ASSERT(*line.begin() == *item);
                         line.erase(*item);
                         if (line.empty())
                             waiting.erase(*item % 5);
                         continue;
                     }
                     auto const item = 5 * next++ + step;
                     auto const pushed = any.push(
                         core::organisation_name(std::to_string(step)), item);
                     if (!waiting.contains(step))
                         RC_ASSERT(pushed.queued);
                     if (pushed.queued)
                         waiting[step].insert(item);
                     if (pushed.evicted)
                     {
                         auto const owner = *pushed.evicted % 5;
                         RC_ASSERT(owner != step);
                         RC_ASSERT(waiting[owner].erase(*pushed.evicted) == 1U);
                         RC_ASSERT(!waiting[owner].empty());
                     }
                     std::size_t total = 0;
                     for (auto const& [owner, line] : waiting)
                         total += line.size();
                     RC_ASSERT(any.size() == total);
                     RC_ASSERT(any.size() <= 12U);
                     RC_ASSERT(any.organisations() == waiting.size());
                 }
             });
}
