#include <kumquatloom/limits/share_table.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::limits;
using namespace std::chrono_literals;

core::time_point const start(10h);
constexpr microtoken_rate base = 10 * micro_rate_of_one;

limit_key key_of(int number)
{
    return {"/p" + std::to_string(number), core::organisation_name("o")};
}

share_table_settings bounded(std::size_t shares)
{
    share_table_settings settings;
    settings.shares = shares;
    return settings;
}

} // namespace

// Guards against a limit that is kept twice, or not at all.
TEST_CASE("shares are made when they are needed", "[limits]")
{
    share_table table(bounded(4), {core::instance_id("a"), 1, start - 1h});
    for (int i = 0; i < 4; ++i)
    {
        CHECK(table.try_take(key_of(i), base, start));
        CHECK_FALSE(table.try_take(key_of(i), base, start));
    }

    SECTION("without room a request is refused, until idle shares have left")
    {
        CHECK_FALSE(table.try_take(key_of(9), base, start));
        table.refresh(start + 1s);
        CHECK(table.size() == 4);
        CHECK(table.try_take(key_of(0), base, start + 60s));
        table.refresh(start + 61s);
        CHECK(table.size() == 1);
        CHECK(table.try_take(key_of(9), base, start + 61s));
    }

    SECTION("a share that is lent stays")
    {
        share_table peer(bounded(4), {core::instance_id("b"), 1, start - 1h});
        peer.try_take(key_of(0), base, start);
        for (int i = 0; i < 100; ++i)
            peer.try_take(key_of(0), base, start);
        table.refresh(start + 1s);
        auto const requests = peer.make_requests(start + 500ms);
        REQUIRE(requests.size() == 1);
        auto const grant = table.handle_request(requests[0], base, start + 55s);
        REQUIRE(grant);
        CHECK_FALSE(peer.handle_grant(*grant, start + 55s));
        table.refresh(start + 62s);
        CHECK(table.size() == 1);
        table.refresh(start + 66s);
        CHECK(table.size() == 0);
    }

    SECTION("a changed document changes the shares")
    {
        table.update_base(
            [](limit_key const&)
            {
                return 0;
            },
            start);
        CHECK_FALSE(table.try_take(key_of(0), base, start + 10s));
    }

    SECTION("threads that need one share at once get the same one")
    {
        share_table shared(bounded(64),
                           {core::instance_id("a"), 1, start - 1h});
        std::atomic<int> taken{0};
        std::vector<std::thread> workers;
        for (int i = 0; i < 4; ++i)
            workers.emplace_back(
                [&]
                {
                    for (int j = 0; j < 64; ++j)
                        for (int k = 0; k < 3; ++k)
                            if (shared.try_take(key_of(j), base, start))
                                taken.fetch_add(1);
                });
        for (int i = 0; i < 100; ++i)
            shared.refresh(start);
        for (auto& worker : workers)
            worker.join();
        CHECK(taken.load() == 64);
        CHECK(shared.size() == 64);
    }
}
