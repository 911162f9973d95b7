#include <kumquatloom/limits/priority_fair_queue.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

core::time_point const start(1000s);
core::organisation_name const shop("shop");
core::organisation_name const school("school");

std::vector<std::string> drain(priority_fair_queue<std::string>& queue,
                               core::time_point now)
{
    std::vector<std::string> order;
    while (auto item = queue.pop(now))
        order.push_back(*item);
    return order;
}

} // namespace

// Guards against an overload that makes every request late, and against less
// important requests that go before more important ones.
TEST_CASE("what can still be in time goes first, by priority", "[limits]")
{
    priority_fair_queue<std::string> queue({});
    queue.push(shop, priority::low, start + 10s, "low");
    queue.push(shop, priority::high, start + 10s, "high");
    queue.push(shop, priority::normal, start + 10s, "normal");
    queue.push(shop, priority::high, start + 1s, "high but soon late");
    CHECK(queue.size() == 4);

    SECTION("all in time: by priority, then in order of arrival")
    {
        CHECK(drain(queue, start) ==
              std::vector<std::string>{
                  "high", "high but soon late", "normal", "low"});
    }

    SECTION("a late one goes after all that are in time")
    {
        CHECK(drain(queue, start + 2s) ==
              std::vector<std::string>{
                  "high", "normal", "low", "high but soon late"});
    }

    SECTION("nothing is lost when all are late")
    {
        CHECK(drain(queue, start + 20s).size() == 4);
        CHECK(queue.size() == 0);
    }

    SECTION("only requests of the same or a higher priority are ahead")
    {
        CHECK(queue.items_ahead_of(priority::high) == 2);
        CHECK(queue.items_ahead_of(priority::normal) == 3);
        CHECK(queue.items_ahead_of(priority::low) == 4);
    }
}

TEST_CASE("organisations of one priority take turns", "[limits]")
{
    priority_fair_queue<std::string> queue({});
    queue.push(shop, priority::normal, start + 10s, "shop 1");
    queue.push(shop, priority::normal, start + 10s, "shop 2");
    queue.push(school, priority::normal, start + 10s, "school 1");
    CHECK(drain(queue, start) ==
          std::vector<std::string>{"shop 1", "school 1", "shop 2"});
}

TEST_CASE("a full queue refuses or displaces", "[limits]")
{
    priority_fair_queue<std::string> queue({3, 2});
    queue.push(shop, priority::normal, start + 10s, "shop 1");
    queue.push(shop, priority::normal, start + 10s, "shop 2");

    SECTION("an organisation's own bound refuses its next item")
    {
        CHECK_FALSE(
            queue.push(shop, priority::normal, start + 10s, "shop 3").queued);
    }

    SECTION("late items that no longer fit are served at once")
    {
        auto const late = start + 20s;
        queue.push(school, priority::normal, start + 10s, "school 1");
        CHECK(drain(queue, late).size() == 3);
    }
}
