#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <unit_tests/entry/entry_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

constexpr std::size_t mebibyte = 1024UL * 1024;
/// More than the kernel buffers for a connection whose caller doesn't read.
constexpr std::size_t response_bytes = 8 * mebibyte;
/// Two such responses, and the eighth that is left to small ones.
constexpr std::size_t memory_bytes = 20 * mebibyte;
constexpr char const* buffered = "kumquatloom_buffered_answers_bytes";

/// A caller that has sent a request and doesn't read the response.
std::unique_ptr<raw_caller> slow_reader(entry_fixture& fixture)
{
    auto caller =
        std::make_unique<raw_caller>(fixture.instance().callers_port());
    caller->send(request_text("GET", "/large"));
    return caller;
}

} // namespace

// Guards against callers that don't read their responses and hold the memory
// for responses, so that an ordinary caller gets none.
TEST_CASE("slow readers make room for other responses", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{
                complete_response(request, std::string(response_bytes, 'x'))};
        });
    // A worker closes only connections of its own.
    fixture.settings.threads = 1;
    fixture.settings.callers.memory_wait = 20s;
    fixture.settings.upstreams.answer_limit_bytes = 2 * response_bytes;
    fixture.settings.memory.buffered_answers_bytes = memory_bytes;
    fixture.start();
    std::vector<std::unique_ptr<raw_caller>> slow;
    slow.push_back(slow_reader(fixture));
    slow.push_back(slow_reader(fixture));
    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric(buffered) >= 2 * response_bytes;
        });

    SECTION("one ordinary caller")
    {
        auto const response = fixture.exchange(request_text("GET", "/large"));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
        CHECK(response->body().size() == response_bytes);
    }

    SECTION("ordinary callers together, for whom it suffices in turn")
    {
        std::atomic<unsigned> complete{0};
        std::vector<std::thread> callers;
        for (unsigned number = 0; number < 6; ++number)
            callers.emplace_back(
                [&]
                {
                    auto const response =
                        fixture.exchange(request_text("GET", "/large"));
                    complete +=
                        response && response->body().size() == response_bytes
                            ? 1
                            : 0;
                });
        for (auto& caller : callers)
            caller.join();
        CHECK(complete == callers.size());
    }
    // Only the slow readers lost their connections.
    CHECK(fixture.metric("kumquatloom_events_total{event=\"reader-shed\"}") <=
          2);
    CHECK(upstream.executions() >= 3);
}
