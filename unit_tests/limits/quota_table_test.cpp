#include <kumquatloom/limits/quota_table.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

core::time_point const start(10h);
constexpr std::uint32_t organisation = 7;
constexpr std::uint32_t own_key = 1;
constexpr std::uint32_t other_key = 2;

/// An instance that started long enough ago for its buckets to be full.
quota_table table_at(core::time_point started, std::uint32_t key = own_key)
{
    quota_table table({}, {key, 100, key}, started);
    table.mark_sources_complete();
    table.configure({{organisation, 10, 10}}, started);
    return table;
}

unsigned take_all(quota_table& table, core::time_point now)
{
    unsigned count = 0;
    while (table.try_take(organisation, now).admitted)
        ++count;
    return count;
}

quota_update update_of(core::incarnation incarnation,
                       std::uint32_t sequence,
                       std::uint32_t admitted)
{
    quota_update update;
    update.incarnation = incarnation;
    update.sequence = sequence;
    update.uptime = 1h;
    update.counts = {{organisation, admitted, 0}};
    return update;
}

} // namespace

// Guards against organisations that are limited without a quota, and against a
// single instance that refuses requests within the quota.
TEST_CASE("a single instance applies the whole quota", "[quota]")
{
    auto table = table_at(start - 1h);
    // The burst and half of the tolerance.
    CHECK(take_all(table, start) == 20);
    CHECK(take_all(table, start + 1s) == 10);
    CHECK(table.try_take(organisation + 1, start).admitted);
    CHECK(table.tracked() == 1);

    SECTION("a refusal states when a token is expected")
    {
        auto const refused = table.try_take(organisation, start + 1s);
        REQUIRE_FALSE(refused.admitted);
        CHECK(refused.retry_after >= 100ms);
        CHECK(table.try_take(organisation, start + 1s + refused.retry_after)
                  .admitted);
    }
    SECTION("a request that did not run returns its token")
    {
        table.give_back(organisation, start + 1s);
        CHECK(take_all(table, start + 1s) == 1);
        CHECK(table.returned() == 1);
        // The count that others receive does not include it.
        CHECK(table.make_update(8, start + 1s).counts.front().admitted == 30);
    }
    SECTION("a removed quota no longer limits")
    {
        table.configure({}, start + 1s);
        CHECK(table.try_take(organisation, start + 1s).admitted);
        CHECK_FALSE(table.is_enabled());
        CHECK(table.tracked() == 0);
    }
    SECTION("a lowered quota applies at once")
    {
        table.configure({{organisation, 1, 1}}, start + 1s);
        CHECK(take_all(table, start + 3s) <= 3);
    }
}

// Guards against callers of an organisation with a low rate that return before
// a token is there.
TEST_CASE("a low rate states a long delay", "[quota]")
{
    quota_table table({.tolerance = 0}, {own_key, 100, own_key}, start - 1h);
    table.mark_sources_complete();
    table.configure({{organisation, 0.001F, 1}}, start - 1h);
    take_all(table, start);
    auto const refused = table.try_take(organisation, start);
    REQUIRE_FALSE(refused.admitted);
    CHECK(table.try_take(organisation, start + refused.retry_after).admitted);
}

// Guards against a process that admits a whole burst after each restart.
TEST_CASE("a new process starts without credit", "[quota]")
{
    auto table = table_at(start);
    CHECK(take_all(table, start) == 0);
    CHECK(take_all(table, start + 500ms) == 5);
}

// Guards against counts that are lost, counted twice or mixed up between
// processes of a source.
TEST_CASE("counts of a source are cumulative", "[quota]")
{
    auto table = table_at(start - 1h);
    auto const apply = [&](quota_update const& update, core::time_point now)
    {
        return table.apply(quota_source_kind::instance, other_key, update, now);
    };
    REQUIRE(apply(update_of(5, 1, 0), start));
    REQUIRE(table.try_take(organisation, start).admitted);

    SECTION("a lost update is made up for by the next")
    {
        REQUIRE(apply(update_of(5, 3, 15), start + 200ms));
        CHECK(take_all(table, start + 200ms) <= 5);
        CHECK(take_all(table, start + 3s) > 5);
    }
    SECTION("an outdated or repeated update changes nothing")
    {
        REQUIRE(apply(update_of(5, 3, 4), start + 200ms));
        CHECK_FALSE(apply(update_of(5, 2, 500), start + 200ms));
        CHECK_FALSE(apply(update_of(5, 3, 500), start + 200ms));
        CHECK(take_all(table, start + 900ms) >= 10);
    }
    SECTION("a new process of the source counts from zero")
    {
        REQUIRE(apply(update_of(5, 3, 4), start + 200ms));
        auto restarted = update_of(6, 1, 2);
        restarted.uptime = 100ms;
        REQUIRE(apply(restarted, start + 400ms));
        CHECK_FALSE(apply(update_of(5, 4, 500), start + 500ms));
        // The source had all of the recent load, so at first only a part of
        // the tokens may be spent here without a report.
        auto admitted = take_all(table, start + 900ms);
        CHECK(admitted >= 8);
        table.make_update(8, start + 900ms);
        admitted += take_all(table, start + 1s);
        CHECK(admitted >= 17);
        CHECK(admitted <= 21);
    }
    SECTION("of a source that was not heard before, one window counts")
    {
        constexpr std::uint32_t another = 3;
        // 5,000 in an hour are seven in a window.
        REQUIRE(table.apply(quota_source_kind::instance,
                            another,
                            update_of(9, 1, 5000),
                            start));
        auto const admitted = take_all(table, start + 100ms);
        CHECK(admitted >= 3);
        CHECK(admitted <= 13);
    }
}

// Guards against an instance that spends the whole quota while the others,
// which it cannot hear or which cannot hear it, spend it too.
TEST_CASE("an instance without news spends its static share", "[quota]")
{
    auto table = table_at(start - 1h);
    constexpr unsigned others = 9;
    for (std::uint32_t i = 0; i < others; ++i)
        table.add_source(
            quota_source_kind::instance, other_key + i, 1, start - 1h);
    auto sequence = std::uint32_t{0};
    auto const hear_all =
        [&](core::time_point now, std::vector<std::uint32_t> const& unheard)
    {
        ++sequence;
        for (std::uint32_t i = 0; i < others; ++i)
        {
            auto update = update_of(5 + i, sequence, 0);
            update.unheard = unheard;
            table.apply(
                quota_source_kind::instance, other_key + i, update, now);
        }
    };

    SECTION("if it never heard the others")
    {
        table.refresh(start - 1h + 1s);
        CHECK(table.observed_fraction() == Approx(0.1));
        CHECK(take_all(table, start) <= 3);
    }
    SECTION("if it no longer hears them")
    {
        hear_all(start, {});
        CHECK(table.observed_fraction() == Approx(1));
        unsigned admitted = 0;
        for (auto now = start + 2s; now < start + 12s; now += 10ms)
            admitted += table.try_take(organisation, now).admitted ? 1 : 0;
        // A tenth of 20 tokens, and one a second.
        CHECK(admitted <= 13);
        CHECK(admitted >= 8);
    }
    SECTION("if they do not hear it")
    {
        for (auto now = start; now < start + 10s; now += 100ms)
            hear_all(now, {own_key});
        CHECK(table.observed_fraction() == Approx(0.1));
        hear_all(start + 10s, {});
        CHECK(table.observed_fraction() == Approx(1));
    }
    SECTION("until the others announced that they stop")
    {
        hear_all(start, {});
        for (std::uint32_t i = 0; i < others; ++i)
        {
            auto update = update_of(5 + i, sequence + 1, 0);
            update.leaving = true;
            table.apply(quota_source_kind::instance,
                        other_key + i,
                        update,
                        start + 100ms);
        }
        table.refresh(start + 2s);
        CHECK(table.observed_fraction() == Approx(1));
    }
}

// Guards against a paused process that accrues the whole quota for a time in
// which it heard of no request.
TEST_CASE("a paused process does not accrue the others' tokens", "[quota]")
{
    auto table = table_at(start - 1h);
    auto update = update_of(5, 1, 0);
    update.instances = 99;
    table.apply(quota_source_kind::domain, other_key, update, start);
    REQUIRE(table.observed_fraction() == Approx(1));
    take_all(table, start);
    CHECK(take_all(table, start + 60s) <= 2);
}

// Guards against messages without bound, and against changes that stay unknown
// because a datagram was lost.
TEST_CASE("an update has the counts that changed", "[quota]")
{
    quota_table table({}, {own_key, 100, 1}, start - 1h);
    table.mark_sources_complete();
    std::vector<quota_limit> limits;
    for (std::uint32_t i = 0; i < 100; ++i)
        limits.push_back({i, 50, 50});
    table.configure(limits, start - 1h);
    for (std::uint32_t i = 0; i < 100; ++i)
        for (std::uint32_t count = 0; count <= i % 10; ++count)
            table.try_take(i, start);
    REQUIRE(table.has_news());
    auto const first = table.make_update(60, start);
    CHECK(first.counts.size() == 60);
    // The heaviest first.
    CHECK(first.counts.front().admitted == 10);
    auto const second = table.make_update(60, start);
    CHECK(second.counts.size() == 60);
    for (int i = 0; i < 10; ++i)
        table.make_update(60, start);
    CHECK_FALSE(table.has_news());
    // Only some are repeated.
    CHECK(table.make_update(60, start).counts.size() <= 4);
    CHECK(table.make_update(60, start).sequence > first.sequence);

    SECTION("organisations that are no longer used are forgotten")
    {
        for (auto now = start; now < start + 70s; now += 1s)
            table.refresh(now);
        CHECK(table.tracked() == 0);
    }
}
