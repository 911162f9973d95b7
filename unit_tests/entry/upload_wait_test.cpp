#include <kumquatloom/entry/memory_queue.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <unit_tests/entry/entry_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

constexpr std::size_t memory_bytes = 1024UL * 1024;
/// Seven eighths of the memory, less that of a few connections, has room for
/// one such body.
constexpr std::size_t body_bytes = memory_bytes / 2;
constexpr char const* waited =
    "kumquatloom_events_total{event=\"request-waited\"}";

std::string upload(std::string const& target)
{
    return request_text("POST", target, std::string(body_bytes, 'x'));
}

} // namespace

// Guards against refusing an upload although an earlier one releases its memory
// a moment later, so that the caller must send it again as a whole.
TEST_CASE("a large upload waits for memory for a bounded time", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{
                complete_response(request, "done"), false, false, true};
        });
    fixture.settings.memory.buffered_requests_bytes = memory_bytes;
    fixture.settings.threads = 1;
    // The connection of a refused upload ends after this time.
    fixture.settings.callers.header_timeout = 1s;
    fixture.settings.callers.memory_wait = 20s;

    std::optional<raw_caller> first;
    auto const start = [&]
    {
        fixture.start();
        first.emplace(fixture.instance().callers_port());
        first->send(upload("/first"));
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
    };

    SECTION("it is served when the memory is released")
    {
        fixture.settings.callers.header_timeout = 20s;
        start();
        raw_caller second(fixture.instance().callers_port());
        second.send(upload("/second"));
        entry_fixture::wait_until(
            [&]
            {
                return fixture.metric(waited) == 1;
            });
        upstream.release();
        for (auto* caller : {&*first, &second})
        {
            auto const response = caller->receive();
            REQUIRE(response);
            CHECK(response->result_int() == 200);
        }
    }

    SECTION("it is refused as not run at the end of the time")
    {
        fixture.settings.callers.memory_wait = 20ms;
        start();
        auto const response = fixture.exchange(upload("/second"));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK((*response)["Kumquatloom-Outcome"] == "not-run");
        CHECK(upstream.executions() == 1);
    }

    SECTION("one that would be refused anyway doesn't wait")
    {
        start();
        auto const response = fixture.exchange(upload("/secret"));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(fixture.metric(waited) == 0);
    }
}

// Guards against a large message that waits forever because smaller ones that
// came later take the memory first, and against a wait without end.
TEST_CASE("messages get memory in the order in which they wait", "[entry]")
{
    boost::asio::io_context context;
    entry::memory_queue queue;
    entry::cancellation never;
    std::vector<int> order;
    std::size_t room = 0;
    auto const add = [&](int name,
                         std::size_t bytes,
                         core::time_point until,
                         entry::cancellation& cancel)
    {
        boost::asio::co_spawn(
            context,
            [&, name, bytes, until]() -> boost::asio::awaitable<void>
            {
                bool const reserved = co_await queue.wait(
                    [&]
                    {
                        bool const fits = bytes <= room;
                        room -= fits ? bytes : 0;
                        return fits;
                    },
                    until,
                    cancel);
                order.push_back(reserved ? name : -name);
            },
            boost::asio::detached);
    };
    auto const end = core::time_point::max();

    SECTION("the first one although a later one would fit")
    {
        room = 9;
        add(1, 10, end, never);
        add(2, 9, end, never);
        context.run_for(50ms);
        CHECK(order.empty());
        room = 10;
        context.run_for(50ms);
        CHECK(order == std::vector{1});
        room = 9;
        context.run();
        CHECK(order == std::vector{1, 2});
    }

    SECTION("one whose time has passed or that is cancelled leaves its turn")
    {
        entry::cancellation cancel;
        add(1, 10, core::clock::now(), never);
        add(2, 10, end, cancel);
        add(3, 9, end, never);
        context.run_for(50ms);
        CHECK(order == std::vector{-1});
        room = 9;
        cancel.request();
        context.run();
        CHECK(order == std::vector{-1, -2, 3});
        CHECK(queue.empty());
    }
}
