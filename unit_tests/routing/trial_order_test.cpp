#include <kumquatloom/health/health_estimate_table.hpp>
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
constexpr int upstream_count = 24;
/// Interval between requests that may be trials: longer than the avoided
/// upstreams' trial interval divided by their number.
constexpr auto request_interval = 100ms;

core::upstream_id upstream_at(int index)
{
    return core::upstream_id("i-" + std::to_string(index));
}

routing::listed_upstream listed(int index)
{
    return {{upstream_at(index),
             core::service_name("storefront"),
             "127.0.0.1",
             80,
             core::failure_domain("near"),
             core::region("home"),
             4},
            false};
}

} // namespace

// Guards against recovered upstreams that stay out of service.
TEST_CASE("avoided upstreams take turns when few requests may be trials",
          "[routing]")
{
    std::vector<routing::listed_upstream> list;
    std::vector<core::upstream_id> ids;
    health::health_estimate_table estimates({}, 0);
    for (int index = 0; index < upstream_count; ++index)
    {
        list.push_back(listed(index));
        ids.push_back(upstream_at(index));
    }
    estimates.track(ids, start);
    routing::picker picker;
    picker.publish(routing::upstream_table::build(
        nullptr,
        list,
        {core::failure_domain("near"), core::region("home")},
        start));
    for (auto const& id : ids)
        estimates.record({id, health::attempt_result::cut_short, 10ms, 1s},
                         start);

    std::map<core::upstream_id, core::time_point> last_attempt;
    core::duration longest_gap{};
    auto const end = start + 10 * upstream_count * request_interval;
    for (auto now = start; now < end; now += request_interval)
    {
        picker.table()->publish(estimates.decide(now), now);
        auto const pick =
            picker.choose({{}, routing::trial_permission::due, 1}, now);
        if (!pick)
            continue;
        auto const& id = pick.value().object->endpoint().id;
        health::attempt_report const failed{
            id, health::attempt_result::cut_short, 10ms, 1s};
        picker.finish_attempt(pick.value(), failed, now);
        estimates.record(failed, now);
        auto& last = last_attempt.try_emplace(id, start).first->second;
        longest_gap = std::max<core::duration>(longest_gap, now - last);
        last = now;
    }
    for (auto const& id : ids)
        longest_gap = std::max<core::duration>(
            longest_gap,
            end - last_attempt.try_emplace(id, start).first->second);

    CHECK(longest_gap <= 2 * upstream_count * request_interval);
}
