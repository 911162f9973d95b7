#include <kumquatloom/directory/drain_timer.hpp>
#include <kumquatloom/directory/entries_json.hpp>
#include <kumquatloom/directory/entry_directory.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace kumquatloom;
using namespace kumquatloom::directory;
using namespace std::chrono_literals;

namespace
{

core::time_point const now{1000s};
core::failure_domain const west("nbi-west");
core::region const nairobi("nairobi");

std::string region_of(std::string const& domain)
{
    return domain.substr(0, 3) == "nbi" ? "nairobi" : "mombasa";
}

membership::known_instance make_instance(std::string const& domain, int number)
{
    auto const name = domain + "-" + std::to_string(number);
    return {core::instance_id(name),
            name + ":80",
            core::failure_domain(domain),
            core::region(region_of(domain)),
            now,
            true,
            true,
            false};
}

std::vector<membership::known_instance> make_fleet(int per_domain)
{
    std::vector<membership::known_instance> fleet;
    for (auto const* domain :
         {"nbi-west", "nbi-east", "msa-north", "msa-south"})
        for (int i = 0; i < per_domain; ++i)
            fleet.push_back(make_instance(domain, i));
    return fleet;
}

core::organisation_name organisation(int number)
{
    return core::organisation_name("organisation-" + std::to_string(number));
}

entry_directory make_directory()
{
    return entry_directory({}, west, nairobi);
}

/// Number of entries in each group: the caller's failure domain, the rest of
/// its region, and other regions.
std::array<int, 3> group_sizes(entry_list const& answer)
{
    std::array<int, 3> counts{};
    for (auto const& entry : answer.entries)
        ++counts[entry.failure_domain == west ? 0
                 : entry.region == nairobi    ? 1
                                              : 2];
    return counts;
}

/// Number of entries of one group that are only in the first list.
int removed_from_group(entry_list const& before,
                       entry_list const& after,
                       std::string const& domain)
{
    int removed = 0;
    for (auto const& entry : before.entries)
        if ((domain == "west") == (entry.failure_domain == west) &&
            (domain == "region") ==
                (entry.failure_domain != west && entry.region == nairobi) &&
            std::find(after.entries.begin(), after.entries.end(), entry) ==
                after.entries.end())
            ++removed;
    return removed;
}

} // namespace

TEST_CASE("nearby instances are listed first", "[directory]")
{
    // Guards against callers that are sent to distant or unusable instances.
    auto const directory = make_directory();
    auto fleet = make_fleet(12);
    auto const answer_caller = [&]
    {
        return directory.answer(organisation(1), west, fleet, now);
    };
    auto const answer = answer_caller();
    REQUIRE(answer.time_to_live == 30s);
    REQUIRE(group_sizes(answer) == std::array<int, 3>{4, 2, 1});

    SECTION("entries for another failure domain are close to that domain")
    {
        auto const other = directory.answer(
            organisation(1), core::failure_domain("msa-south"), fleet, now);
        REQUIRE(other.entries[0].failure_domain ==
                core::failure_domain("msa-south"));
        REQUIRE(other.entries[6].region == nairobi);
    }
    SECTION("an unknown failure domain is replaced by the instance's own")
    {
        auto const other = directory.answer(
            organisation(1), core::failure_domain("nowhere"), fleet, now);
        REQUIRE(other.entries == answer.entries);
    }
    SECTION("entries of a failed failure domain come from the region")
    {
        fleet.erase(fleet.begin(), fleet.begin() + 12);
        REQUIRE(group_sizes(answer_caller()) == std::array<int, 3>{0, 6, 1});
    }
    SECTION("entries of a failed region come from the other one")
    {
        fleet.erase(fleet.begin(), fleet.begin() + 24);
        REQUIRE(group_sizes(answer_caller()) == std::array<int, 3>{0, 0, 7});
    }
    SECTION("silent, leaving and unready instances are left out")
    {
        for (auto& instance : fleet)
        {
            auto& changed = instance;
            if (changed.id == answer.entries[0].instance)
                changed.last_heard = now - 2001ms;
            if (changed.id == answer.entries[1].instance)
                changed.leaving = true;
            if (changed.id == answer.entries[2].instance)
                changed.ready = false;
            if (changed.id == answer.entries[6].instance)
                changed.last_heard = now - 4001ms;
        }
        auto const without = answer_caller();
        REQUIRE(group_sizes(without) == std::array<int, 3>{4, 2, 1});
        for (int const i : {0, 1, 2, 6})
            REQUIRE(std::find(without.entries.begin(),
                              without.entries.end(),
                              answer.entries[i]) == without.entries.end());
    }
    SECTION("instances up to the age limit are listed")
    {
        for (auto& instance : fleet)
            instance.last_heard =
                now - (instance.region == nairobi ? 2000ms : 4000ms);
        REQUIRE(answer_caller().entries == answer.entries);
    }
    SECTION("stale instances come last")
    {
        for (auto& instance : fleet)
            instance.fresh = instance.region != nairobi;
        auto const stale = answer_caller();
        REQUIRE(stale.entries[0].region == core::region("mombasa"));
        REQUIRE(group_sizes(stale) == std::array<int, 3>{4, 2, 1});
    }
    SECTION("the list is rendered as JSON")
    {
        auto const parsed =
            boost::json::parse(entries_json(answer, 9, {"ticket"}));
        REQUIRE(parsed.at("version").to_number<int>() == 9);
        REQUIRE(parsed.at("ttl_ms").to_number<int>() == 30000);
        REQUIRE(parsed.at("tickets").at(0).as_string() == "ticket");
        REQUIRE(parsed.at("entries").as_array().size() == 7);
        auto const& first = parsed.at("entries").at(0);
        REQUIRE(first.at("failure_domain").as_string() == "nbi-west");
        REQUIRE(first.at("address").as_string() == answer.entries[0].address);
    }
}

TEST_CASE("organisations are spread evenly over instances", "[directory]")
{
    // Guards against instances that get many more callers than others. The
    // expected count is 1,000 with a standard deviation of 26 for all entries,
    // and 250 with one of 17 for first entries; the bounds are five standard
    // deviations.
    auto const directory = make_directory();
    auto const fleet = make_fleet(12);
    std::map<core::instance_id, int> all;
    std::map<core::instance_id, int> first;
    for (int i = 0; i < 3000; ++i)
    {
        auto const answer = directory.answer(organisation(i), west, fleet, now);
        for (auto const& entry : answer.entries)
            if (entry.failure_domain == west)
                ++all[entry.instance];
        ++first[answer.entries[0].instance];
    }
    REQUIRE(all.size() == 12);
    for (auto const& [id, count] : all)
        REQUIRE(std::abs(count - 1000) <= 130);
    for (auto const& [id, count] : first)
        REQUIRE(std::abs(count - 250) <= 85);
}

TEST_CASE("a change of one instance changes few entries", "[directory]")
{
    rc::prop("a change of one instance changes at most one entry per group",
             [](std::uint8_t name)
             {
                 auto const directory = make_directory();
                 auto fleet = make_fleet(*rc::gen::inRange(0, 9));
                 RC_PRE(!fleet.empty());
                 for (auto& instance : fleet)
                 {
                     instance.ready = *rc::gen::inRange(0, 4) != 0;
                     instance.fresh = *rc::gen::inRange(0, 4) != 0;
                 }
                 auto const answer_caller = [&]
                 {
                     return directory.answer(
                         organisation(name), west, fleet, now);
                 };
                 auto const before = answer_caller();
                 auto const changed =
                     *rc::gen::inRange<std::size_t>(0, fleet.size());
                 switch (*rc::gen::inRange(0, 4))
                 {
                 case 0:
                     fleet[changed].ready = !fleet[changed].ready;
                     break;
                 case 1:
                     fleet[changed].fresh = !fleet[changed].fresh;
                     break;
                 case 2:
                     fleet[changed].leaving = true;
                     break;
                 default:
                     fleet.erase(fleet.begin() +
                                 static_cast<std::ptrdiff_t>(changed));
                 }
                 auto const after = answer_caller();
                 for (auto const* group : {"west", "region", "other"})
                 {
                     RC_ASSERT(removed_from_group(before, after, group) <= 1);
                     RC_ASSERT(removed_from_group(after, before, group) <= 1);
                 }
             });
}

TEST_CASE("a leaving instance waits before it stops", "[directory]")
{
    // Guards against callers whose cached list contains a stopped instance.
    drain_timer timer({});
    REQUIRE_FALSE(timer.may_stop(0, now));
    timer.start(now);
    timer.start(now + 10s);
    REQUIRE(timer.earliest_stop_time() == now + 35s);
    REQUIRE_FALSE(timer.may_stop(0, now + 34999ms));
    REQUIRE_FALSE(timer.may_stop(1, now + 60s));
    REQUIRE(timer.may_stop(0, now + 35s));
}
