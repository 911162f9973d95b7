#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

constexpr std::size_t memory_bytes = 1024 * 1024;

/// The beginning of an edit with a body of this size, of which little is sent.
std::string incomplete_edit(std::size_t body_bytes)
{
    return "POST /document/edits HTTP/1.1\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n{";
}

} // namespace

// Guards against requests to the operators' port that together exceed the
// memory of the process.
TEST_CASE("the bodies of operators' requests count against the memory",
          "[entry]")
{
    entry_fixture fixture;
    fixture.settings.memory.buffered_requests_bytes = memory_bytes;
    fixture.start();
    auto const port = fixture.instance().operators_port();

    SECTION("one that exceeds it is refused before it has been sent")
    {
        raw_caller one(port);
        auto const response = one.exchange(incomplete_edit(memory_bytes));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
    }

    SECTION("so is one that exceeds it together with others, until they end")
    {
        raw_caller first(port);
        first.send(incomplete_edit(memory_bytes / 2));
        entry_fixture::wait_until(
            [&]
            {
                return fixture.metric("kumquatloom_buffered_requests_bytes") >=
                       memory_bytes / 2;
            });
        raw_caller second(port);
        auto const response =
            second.exchange(incomplete_edit(memory_bytes / 2));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        first.close();
        entry_fixture::wait_until(
            [&]
            {
                return fixture.metric("kumquatloom_buffered_requests_bytes") ==
                       0;
            });
    }
}

// Guards against health checks that are closed for lack of connections without
// a trace in the metrics.
TEST_CASE("connections to the operators' port that were displaced are counted",
          "[entry]")
{
    entry_fixture fixture;
    fixture.settings.operators.connections = 1;
    fixture.start();
    raw_caller idle(fixture.instance().operators_port());
    constexpr char const* displaced =
        "kumquatloom_events_total{event=\"port-displaced\"}";
    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric(displaced) != 0;
        });
    CHECK(idle.ended());
}
