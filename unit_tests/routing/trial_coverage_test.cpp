#include <kumquatloom/health/health_estimate_table.hpp>
#include <kumquatloom/limits/coverage_trials.hpp>
#include <kumquatloom/routing/picker.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace std::chrono_literals;

core::time_point const start{1h};
constexpr int upstream_count = 20;
/// Upstreams that were reset by a fault on the way. They work again at once.
constexpr int blamed_count = 12;
constexpr auto request_interval = 20ms;
/// Time within which the platform expects requests at most healthy upstreams.
constexpr auto coverage_window = 2s;

core::upstream_id upstream_at(int index)
{
    return core::upstream_id("i-" + std::to_string(index));
}

routing::listed_upstream listed(int index)
{
    return {{upstream_at(index),
             core::service_name("settle"),
             "127.0.0.1",
             80,
             core::failure_domain("near"),
             core::region("home"),
             4},
            false};
}

/// Number of upstreams without a request in the window that ends 3 s after they
/// were blamed. No request can be repeated, and every `unserved_interval`-th
/// one is refused before it gets an upstream.
int idle_upstreams(int unserved_interval)
{
    std::vector<routing::listed_upstream> list;
    std::vector<core::upstream_id> ids;
    health::health_estimate_table estimates({}, 0.4);
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
    for (int index = 0; index < blamed_count; ++index)
        estimates.record(
            {upstream_at(index), health::attempt_result::cut_short, 10ms, 1s},
            start);

    limits::coverage_trials trials;
    std::map<core::upstream_id, core::time_point> last_attempt;
    std::uint64_t count = 0;
    auto const end = start + 3s;
    for (auto now = start; now < end; now += request_interval)
    {
        bool const is_served =
            ++count % static_cast<std::uint64_t>(unserved_interval) != 0;
        trials.record_request(is_served, now);
        if (!is_served)
            continue;
        picker.table()->publish(estimates.decide(now), now);
        auto const trial = trials.permits(now)
                               ? routing::trial_permission::coverage
                               : routing::trial_permission::none;
        auto const pick = picker.choose({{}, trial, count}, now);
        if (!pick)
            continue;
        if (pick.value().tier == routing::pick_tier::trial)
            trials.record_trial();
        auto const& id = pick.value().object->endpoint().id;
        health::attempt_report const success{
            id, health::attempt_result::success, 10ms, 1s};
        picker.finish_attempt(pick.value(), success, now);
        estimates.record(success, now);
        last_attempt[id] = now;
    }
    int idle = 0;
    for (auto const& id : ids)
        idle += last_attempt[id] < end - coverage_window ? 1 : 0;
    return idle;
}

} // namespace

// Guards against healthy upstreams that get no requests for 2 s because no
// request may be a trial, while the service serves only part of its requests.
TEST_CASE("upstreams of a service without idempotent requests stay covered",
          "[routing]")
{
    constexpr int allowed_idle = upstream_count * 3 / 10;
    SECTION("while a fifth of the requests is not served")
    {
        CHECK(idle_upstreams(5) < allowed_idle);
    }
    SECTION("but no request is a trial while all are served")
    {
        CHECK(idle_upstreams(10000) >= blamed_count);
    }
}
