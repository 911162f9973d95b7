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

// Guards against a burst from one organisation that delays or evicts the
// requests of others.
TEST_CASE("a fair queue isolates organisations from a burst", "[limits]")
{
    fair_queue<int> queue({10, 8});
    for (int i = 0; i < 20; ++i)
        CHECK(queue.push(burst, i).queued == (i < 8));

    SECTION("another organisation's item waits for one item of the burst")
    {
        CHECK(queue.push(quiet, 100).queued);
        CHECK(queue.pop() == 0);
        CHECK(queue.pop() == 100);
        CHECK(queue.pop() == 1);
    }

    SECTION("a full queue evicts the newest item of the burst")
    {
        for (int i = 0; i < 2; ++i)
            CHECK_FALSE(queue.push(quiet, 100 + i).evicted);
        auto const pushed = queue.push(quiet, 102);
        CHECK(pushed.queued);
        CHECK(pushed.evicted == 7);
        CHECK(queue.size() == 10);
    }

    rc::prop(
        "each item is popped or evicted once, in order, and an organisation "
        "without items can always queue one",
        []
        {
            fair_queue<int> any({12, 6});
            std::map<int, std::set<int>> waiting;
            int next = 0;
            // Step 5 pops an item; each other step pushes one for the
            // organisation whose number is the step.
            for (auto const step :
                 *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6)))
            {
                if (step == 5)
                {
                    auto const item = any.pop();
                    RC_ASSERT(item.has_value() != waiting.empty());
                    if (!item)
                        continue;
                    // An item's number modulo 5 is its organisation.
                    auto& items = waiting[*item % 5];
                    RC_ASSERT(!items.empty());
                    RC_ASSERT(*items.begin() == *item);
                    items.erase(*item);
                    if (items.empty())
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
                for (auto const& [owner, items] : waiting)
                    total += items.size();
                RC_ASSERT(any.size() == total);
                RC_ASSERT(any.size() <= 12U);
                RC_ASSERT(any.organisations() == waiting.size());
            }
        });
}
