#include <kumquatloom/routing/picker.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::routing;
using namespace std::chrono_literals;

core::time_point const start{1h};

listed_upstream listed(std::string const& id)
{
    return {{core::upstream_id(id),
             core::service_name("storefront"),
             "127.0.0.1",
             80,
             core::failure_domain("near"),
             core::region("home"),
             2},
            false};
}

health::standing_decision avoid(std::string const& id)
{
    return {core::upstream_id(id),
            health::upstream_standing::avoided,
            1,
            1,
            true,
            false,
            start};
}

} // namespace

// Guards against requests that cannot be repeated being the first to find out
// that an upstream fails.
TEST_CASE("upstreams are preferred by their last success", "[routing]")
{
    picker picker(balancing_policy::least_used);
    picker.publish(upstream_table::build(
        nullptr,
        {listed("a"), listed("b"), listed("c")},
        {core::failure_domain("near"), core::region("home")},
        start));
    auto const find = [&](char const* id)
    {
        return picker.table()->find(core::upstream_id(id));
    };
    auto const choose = [&](success_preference preference,
                            core::time_point now,
                            std::uint64_t random = 1,
                            trial_permission trial = trial_permission::none)
    {
        auto chosen = picker.choose({{}, trial, random, preference}, now);
        REQUIRE(chosen);
        return std::move(chosen.value());
    };
    auto const chosen_ids = [&](success_preference preference)
    {
        std::set<std::string> result;
        for (std::uint64_t random = 0; random < 64; ++random)
        {
            auto const chosen = choose(preference, start, random);
            result.insert(chosen.object->endpoint().id.value());
            picker.cancel_attempt(chosen, start);
        }
        return result;
    };
    find("a")->record_success(start - 300ms);
    find("b")->record_success(start - 100ms);
    find("c")->record_success(start - 200ms);

    SECTION("the most recent one is chosen among all")
    {
        CHECK(chosen_ids(success_preference::recent) ==
              std::set<std::string>{"b"});
    }
    SECTION("a failure invalidates the success")
    {
        find("b")->record_failure();
        CHECK(chosen_ids(success_preference::recent) ==
              std::set<std::string>{"c"});
    }
    SECTION("an upstream without a free slot is not chosen")
    {
        find("b")->update_remote_load(2);
        CHECK(chosen_ids(success_preference::recent) ==
              std::set<std::string>{"c"});
    }
    SECTION("an attempt that would have been reset by now counts as a success")
    {
        find("a")->begin_attempt();
        find("a")->record_start(start - 5ms);
        CHECK(find("a")->last_success(start) == start - 300ms);
        CHECK(find("a")->last_success(start + 50ms) == start - 5ms);
    }
    SECTION("the most recent one is chosen only by chance to explore")
    {
        // Two draws choose it only if both return it.
        CHECK(chosen_ids(success_preference::oldest).contains("a"));
        int recent = 0;
        for (std::uint64_t random = 0; random < 64; ++random)
        {
            auto const chosen =
                choose(success_preference::oldest, start, random);
            recent += chosen.object == find("b") ? 1 : 0;
            picker.cancel_attempt(chosen, start);
        }
        CHECK(recent < 64 / 3);
    }
    SECTION("a trial needs another upstream that has recently succeeded")
    {
        picker.table()->publish({avoid("a")}, start);
        auto const later = start + 2s;
        CHECK(
            choose(success_preference::oldest, later, 1, trial_permission::due)
                .tier == pick_tier::own_domain);
        find("c")->record_success(later);
        CHECK(
            choose(success_preference::oldest, later, 1, trial_permission::due)
                .tier == pick_tier::trial);
    }
}
