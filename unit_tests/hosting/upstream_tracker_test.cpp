#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/upstream_tracker.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;
using namespace std::chrono_literals;

core::time_point const start(1000s);
core::service_name const service("shop");

/// More upstreams than fit into one message.
constexpr std::size_t upstream_count = 3 * max_reports;

routing::listed_upstream listed(std::size_t index)
{
    return {{core::upstream_id("i-" + std::to_string(index)),
             service,
             "10.0.0.9",
             80,
             core::failure_domain("west"),
             core::region("north"),
             6},
            false};
}

} // namespace

// Guards against neighbours that never hear of failures at some upstreams.
TEST_CASE("evidence on each upstream is reported if there is too much for one "
          "message",
          "[hosting]")
{
    std::vector<routing::listed_upstream> list;
    for (std::size_t index = 0; index < upstream_count; ++index)
        list.push_back(listed(index));
    auto const table = routing::upstream_table::build(
        nullptr,
        list,
        {core::failure_domain("west"), core::region("north")},
        start);
    upstream_tracker tracker(0.4);
    tracker.track(service, table, start);

    std::set<std::uint32_t> reported;
    auto now = start;
    for (int message = 0; message < 12; ++message)
    {
        // Every upstream fails one request between two messages.
        for (auto const& entry : table->entries())
            tracker.record_attempt(*entry.object,
                                   {entry.object->endpoint().id,
                                    health::attempt_result::upstream_error,
                                    10ms,
                                    1s},
                                   now);
        for (auto const& report : tracker.take_reports())
            reported.insert(report.upstream);
        now += 50ms;
    }
    CHECK(reported.size() == upstream_count);
}
