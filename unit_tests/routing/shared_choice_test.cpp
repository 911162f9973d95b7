#include <kumquatloom/routing/picker.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;

core::time_point const start{1h};
constexpr int instance_count = 21;
constexpr int upstream_count = 40;
constexpr unsigned slots = 4;

routing::listed_upstream listed(int index)
{
    return {{core::upstream_id("i-" + std::to_string(index)),
             core::service_name("storefront"),
             "127.0.0.1",
             80,
             core::failure_domain("near"),
             core::region("home"),
             slots},
            false};
}

} // namespace

// Guards against an upstream whose queue many instances fill at the same time.
TEST_CASE("instances do not all choose the upstream that is least used",
          "[routing]")
{
    std::vector<routing::listed_upstream> list;
    for (int index = 0; index < upstream_count; ++index)
        list.push_back(listed(index));
    std::map<core::upstream_id, unsigned> requests;
    for (std::uint64_t instance = 0; instance < instance_count; ++instance)
    {
        routing::picker picker(routing::balancing_policy::least_used);
        picker.publish(routing::upstream_table::build(
            nullptr,
            list,
            {core::failure_domain("near"), core::region("home")},
            start));
        // By the last reports, one upstream is idle and the others are used by
        // half. The instances choose before the next reports.
        for (int index = 1; index < upstream_count; ++index)
            picker.table()
                ->find(listed(index).endpoint.id)
                ->update_remote_load(slots / 2);
        auto const pick = picker.choose(
            {{}, routing::trial_permission::none, instance}, start);
        REQUIRE(pick);
        ++requests[pick.value().object->endpoint().id];
    }
    auto const most = std::max_element(requests.begin(),
                                       requests.end(),
                                       [](auto const& left, auto const& right)
                                       {
                                           return left.second < right.second;
                                       });
    CHECK(most->second <= slots);
}
