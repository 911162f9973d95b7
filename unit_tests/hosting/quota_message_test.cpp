#include <kumquatloom/hosting/departure_notice.hpp>
#include <kumquatloom/hosting/domain_report.hpp>
#include <kumquatloom/hosting/level_message.hpp>
#include <kumquatloom/hosting/neighbour_message.hpp>
#include <kumquatloom/hosting/quota_message.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::hosting;

quota_message full_message()
{
    quota_message message;
    message.domain = core::failure_domain(std::string(40, 'd'));
    message.is_domain_total = true;
    message.update.incarnation = 5;
    message.update.sequence = 6;
    message.update.uptime = std::chrono::milliseconds(7000);
    message.update.instances = 30;
    message.update.unobserved = 2;
    message.update.leaving = true;
    message.update.unheard.assign(max_quota_unheard, 9);
    for (std::uint32_t i = 0; i < max_quota_counts; ++i)
        message.update.counts.push_back({i, 100000 + i, 12});
    return message;
}

} // namespace

// Guards against counts that change on the way, and against datagrams above the
// usual path MTU, which are fragmented and lost more often.
TEST_CASE("a quota message fits a datagram", "[quota]")
{
    auto message = full_message();
    auto const bytes = encode(message);
    constexpr std::size_t max_payload = 1472;
    CHECK(bytes.size() <= max_payload);
    auto const decoded = decode<quota_message>(bytes);
    REQUIRE(decoded);
    CHECK(decoded->domain == message.domain);
    CHECK(decoded->is_domain_total);
    CHECK(decoded->update.incarnation == 5);
    CHECK(decoded->update.uptime == message.update.uptime);
    CHECK(decoded->update.instances == 30);
    CHECK(decoded->update.unobserved == 2);
    CHECK(decoded->update.leaving);
    CHECK(decoded->update.unheard == message.update.unheard);
    CHECK(decoded->update.counts == message.update.counts);

    SECTION("a longer one is not encoded")
    {
        message.update.counts.push_back({1, 2, 3});
        CHECK(encode(message).empty());
    }
}

// Guards against a fleet of two builds in which an update of the quotas is read
// as another message, or makes an older instance reject the load reports.
TEST_CASE("a quota message differs from all other messages", "[quota]")
{
    auto message = full_message();
    auto const bytes = encode(message);
    CHECK_FALSE(decode<neighbour_message>(bytes));
    CHECK_FALSE(decode<domain_report>(bytes));
    CHECK_FALSE(decode<departure_notice>(bytes));
    // The versions of the messages that the previous build exchanges.
    CHECK(message_version == 3);
    CHECK(domain_report_version == 65);
    CHECK(departure_notice_version == 97);
}

// Guards against a report on the room that is read as another message, by this
// build or the previous one, and against datagrams above 600 bytes.
TEST_CASE("a level message differs from all other messages",
          "[admission-level]")
{
    level_message message;
    message.domain = core::failure_domain(std::string(40, 'd'));
    message.incarnation = 5;
    message.sequence = 6;
    limits::room_report const room{{1.5F, 20, 1e9F}, 3, 4.25F};
    message.rooms.assign(max_level_services,
                         limits::service_room::from(9, true, room));
    auto const bytes = encode(message);
    REQUIRE_FALSE(bytes.empty());
    CHECK(bytes.size() <= 600);
    CHECK_FALSE(decode<neighbour_message>(bytes));
    CHECK_FALSE(decode<domain_report>(bytes));
    CHECK_FALSE(decode<departure_notice>(bytes));
    CHECK_FALSE(decode<quota_message>(bytes));
    auto const decoded = decode<level_message>(bytes);
    REQUIRE(decoded);
    CHECK(decoded->domain == message.domain);
    CHECK(decoded->incarnation == 5);
    CHECK(decoded->sequence == 6);
    CHECK(decoded->rooms == message.rooms);
    auto const report = decoded->rooms.front().report();
    CHECK(report.arrivals_per_s[0] == 1.5F);
    CHECK(report.arrivals_per_s[2] == 6553.5F);
    CHECK(report.waiting == 3);
    message.rooms.push_back(message.rooms.front());
    CHECK(encode(message).empty());
}
