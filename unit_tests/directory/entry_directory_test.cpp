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

/// How many entries of an answer stand in each group: the caller's failure
/// domain, its region, elsewhere.
std::array<int, 3> groups(entry_list const& answer)
{
    std::array<int, 3> counts{};
    for (auto const& entry : answer.entries)
        ++counts[entry.failure_domain == west ? 0
                 : entry.region == nairobi    ? 1
                                              : 2];
    return counts;
}

/// Entries of one group that only the first answer has.
int lost_in_group(entry_list const& before,
                  entry_list const& after,
                  std::string const& domain)
{
    int lost = 0;
    for (auto const& entry : before.entries)
        if ((domain == "west") == (entry.failure_domain == west) &&
            (domain == "region") ==
                (entry.failure_domain != west && entry.region == nairobi) &&
            std::find(after.entries.begin(), after.entries.end(), entry) ==
                after.entries.end())
            ++lost;
    return lost;
}

} // namespace

TEST_CASE("callers are told about near instances first", "[directory]")
{
    // Guards against callers that are sent far away or to unusable instances.
    auto const directory = make_directory();
    auto fleet = make_fleet(12);
    auto const ask = [&]
    {
        return directory.answer(organisation(1), west, fleet, now);
    };
    auto const answer = ask();
    REQUIRE(answer.time_to_live == 30s);
    REQUIRE(groups(answer) == std::array<int, 3>{4, 2, 1});

    SECTION("another failure domain is answered from its own view")
    {
        auto const other = directory.answer(
            organisation(1), core::failure_domain("msa-south"), fleet, now);
        REQUIRE(other.entries[0].failure_domain ==
                core::failure_domain("msa-south"));
        REQUIRE(other.entries[6].region == nairobi);
    }
    SECTION("an unknown failure domain is answered from the own one")
    {
        auto const other = directory.answer(
            organisation(1), core::failure_domain("nowhere"), fleet, now);
        REQUIRE(other.entries == answer.entries);
    }
    SECTION("a lost failure domain is made up for by the region")
    {
        fleet.erase(fleet.begin(), fleet.begin() + 12);
        REQUIRE(groups(ask()) == std::array<int, 3>{0, 6, 1});
    }
    SECTION("a lost region is made up for by the other one")
    {
        fleet.erase(fleet.begin(), fleet.begin() + 24);
        REQUIRE(groups(ask()) == std::array<int, 3>{0, 0, 7});
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
        auto const without = ask();
        REQUIRE(groups(without) == std::array<int, 3>{4, 2, 1});
        for (int const i : {0, 1, 2, 6})
            REQUIRE(std::find(without.entries.begin(),
                              without.entries.end(),
                              answer.entries[i]) == without.entries.end());
    }
    SECTION("ages up to the bound are used")
    {
        for (auto& instance : fleet)
            instance.last_heard =
                now - (instance.region == nairobi ? 2000ms : 4000ms);
        REQUIRE(ask().entries == answer.entries);
    }
    SECTION("stale instances come last")
    {
        for (auto& instance : fleet)
            instance.fresh = instance.region != nairobi;
        auto const stale = ask();
        REQUIRE(stale.entries[0].region == core::region("mombasa"));
        REQUIRE(groups(stale) == std::array<int, 3>{4, 2, 1});
    }
    SECTION("the answer is rendered as JSON")
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

TEST_CASE("the load of the organisations is even", "[directory]")
{
    // Guards against instances that get many more callers than others. The
    // expected count is 1,000 with a standard deviation of 26 for all and of
    // 17 for the first entries; the bounds are five of them.
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

TEST_CASE("entry directory properties", "[directory]")
{
    rc::prop("one member's change alters at most one entry per group",
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
                 auto const ask = [&]
                 {
                     return directory.answer(
                         organisation(name), west, fleet, now);
                 };
                 auto const before = ask();
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
                 auto const after = ask();
                 for (auto const* group : {"west", "region", "other"})
                 {
                     RC_ASSERT(lost_in_group(before, after, group) <= 1);
                     RC_ASSERT(lost_in_group(after, before, group) <= 1);
                 }
             });
}

TEST_CASE("a leaving instance waits before it stops", "[directory]")
{
    // Guards against callers whose cached answer names a stopped instance.
    drain_timer timer({});
    REQUIRE_FALSE(timer.may_stop(0, now));
    timer.start(now);
    timer.start(now + 10s);
    REQUIRE(timer.earliest_stop() == now + 35s);
    REQUIRE_FALSE(timer.may_stop(0, now + 34999ms));
    REQUIRE_FALSE(timer.may_stop(1, now + 60s));
    REQUIRE(timer.may_stop(0, now + 35s));
}
