#include <kumquatloom/hosting/domain_relay.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <set>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;
using namespace std::chrono_literals;

core::time_point const start(1000s);
core::failure_domain const own_domain("west");
core::failure_domain const near_domain("east");
core::failure_domain const far_domain("south");

domain_relay relay_of_three_domains()
{
    domain_relay relay(own_domain, {own_domain, near_domain});
    relay.add_instance({own_domain, "10.0.0.1"});
    relay.add_instance({near_domain, "10.1.0.1"});
    relay.add_instance({near_domain, "10.1.0.2"});
    relay.add_instance({far_domain, "10.2.0.1"});
    return relay;
}

} // namespace

// Guards against reports that cause too much paid traffic between regions, and
// against one unreachable instance cutting its domain off from reports.
TEST_CASE("a domain reports its load to other domains", "[hosting]")
{
    auto relay = relay_of_three_domains();

    SECTION("frequently within the region, rarely across regions, round-robin")
    {
        unsigned to_far = 0;
        std::set<std::string> near_hosts;
        unsigned to_near = 0;
        for (auto now = start; now < start + 2s; now += 50ms)
            for (auto const& host : relay.due_targets(now))
                if (host == "10.2.0.1")
                    ++to_far;
                else
                {
                    ++to_near;
                    near_hosts.insert(host);
                }
        CHECK(to_near == 20);
        CHECK(to_far == 5);
        CHECK(near_hosts.size() == 2);
    }

    SECTION("evidence is reported once, load every time")
    {
        relay.add_evidence({{7, 1, 80}, {7, 0, -10}, {8, 2, 0}});
        auto const first = relay.make_report({{7, 3}}, 1);
        REQUIRE(first.reports.size() == 1);
        CHECK(first.reports[0].in_flight == 3);
        CHECK(first.reports[0].evidence == 70);
        auto const second = relay.make_report({{7, 3}}, 1);
        CHECK(second.reports.at(0).evidence == 0);
        CHECK(second.sequence > first.sequence);
    }

    SECTION("duplicates, reordered reports and own reports are rejected")
    {
        domain_report report;
        report.domain = near_domain;
        report.incarnation = 5;
        report.sequence = 2;
        CHECK(relay.accept(report));
        CHECK_FALSE(relay.accept(report));
        report.sequence = 1;
        CHECK_FALSE(relay.accept(report));
        // A different incarnation: another instance reports for the domain now.
        report.incarnation = 6;
        CHECK(relay.accept(report));
        report.domain = own_domain;
        CHECK_FALSE(relay.accept(report));
    }
}
