#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

/// More than the socket buffers of both sides take.
constexpr std::size_t large_bytes = 12 * 1024 * 1024;

/// Holds requests whose target contains "held"; the response to one whose
/// target contains "large" is large.
raw_reply respond(received_request const& request)
{
    std::string const target(request.target());
    auto const body = target.find("large") == std::string::npos
                          ? target
                          : std::string(large_bytes, 'x');
    return {complete_response(request, body),
            false,
            false,
            target.find("held") != std::string::npos};
}

std::string read_text(std::string const& target)
{
    return request_text("GET", target);
}

std::string const order_text = request_text("POST", "/buy", "body");

std::uint64_t event(entry_fixture& fixture, std::string const& name)
{
    return fixture.metric("kumquatloom_events_total{event=\"" + name + "\"}");
}

void wait_for_event(entry_fixture& fixture,
                    std::string const& name,
                    std::uint64_t count)
{
    entry_fixture::wait_until(
        [&]
        {
            return event(fixture, name) >= count;
        });
}

void wait_for_held(raw_upstream const& upstream, unsigned count)
{
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == count;
        });
}

void check_body(raw_caller& caller, std::string const& body)
{
    auto const response = caller.receive();
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK((response->body() == body));
}

} // namespace

// Guards against requests that go on or reach an upstream after a response of
// their connection could not be written.
TEST_CASE("a write error ends the pipelined requests", "[entry][pipelined]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond);
    fixture.settings.upstreams.answer_limit_bytes = 2 * large_bytes;
    fixture.settings.callers.pipelined_bytes = 64 * 1024 * 1024;
    bool const is_timeout = GENERATE(true, false);
    if (is_timeout)
        fixture.settings.callers.idle_timeout = 500ms;
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    caller.send(read_text("/large") + read_text("/held") + order_text +
                read_text("/c"));
    wait_for_held(upstream, 1);
    wait_for_event(fixture, "request-read-ahead", 3);
    // Unread data makes the caller's system reset the connection.
    if (!is_timeout)
        caller.close();
    entry_fixture::wait_until(
        [&]
        {
            return upstream.cancelled() == 1;
        });
    wait_for_event(fixture, "request-dropped", 3);
    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_buffered_answers_bytes") == 0 &&
                   fixture.metric("kumquatloom_requests_in_flight") == 0;
        });
    CHECK(upstream.executions() == 2);
}

// Guards against requests at upstreams whose caller has closed its sending
// side, which counts as having left, and against a non-idempotent one that is
// sent after that.
TEST_CASE("a half-closed connection ends the pipelined requests",
          "[entry][pipelined]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond);
    fixture.settings.upstreams.answer_limit_bytes = 2 * large_bytes;
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("while requests are in progress")
    {
        caller.send(read_text("/held") + read_text("/held/b") + order_text +
                    read_text("/d"));
        wait_for_held(upstream, 2);
        caller.close_sending();
        entry_fixture::wait_until(
            [&]
            {
                return upstream.cancelled() == 2;
            });
        CHECK(caller.ended());
        CHECK(upstream.executions() == 2);
    }

    SECTION("while a response is written")
    {
        caller.send(read_text("/large") + order_text + read_text("/c"));
        wait_for_event(fixture, "request-read-ahead", 2);
        caller.wait_for_response();
        caller.close_sending();
        wait_for_event(fixture, "caller-disconnected", 1);
        check_body(caller, std::string(large_bytes, 'x'));
        CHECK_FALSE(caller.receive());
        CHECK(upstream.executions() == 1);
    }

    SECTION("in the middle of a request")
    {
        caller.send(read_text("/held") + order_text.substr(0, 60));
        wait_for_held(upstream, 1);
        caller.close_sending();
        entry_fixture::wait_until(
            [&]
            {
                return upstream.cancelled() == 1;
            });
        CHECK(caller.ended());
        CHECK(upstream.executions() == 1);
    }
    CHECK(event(fixture, "caller-disconnected") == 1);
}

// Guards against deciding by the method: a GET on a route that doesn't allow
// repetition may change state.
TEST_CASE("a GET on an unsafe route runs alone between safe requests",
          "[entry][pipelined]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("it waits for those before it")
    {
        caller.send(read_text("/held") + read_text("/once/b") +
                    read_text("/c"));
        wait_for_held(upstream, 1);
        wait_for_event(fixture, "request-read-ahead", 2);
        CHECK(upstream.executions() == 1);
        upstream.release();
        check_body(caller, "/held");
        check_body(caller, "/once/b");
        check_body(caller, "/c");
    }

    SECTION("those behind it wait")
    {
        caller.send(read_text("/a") + read_text("/once/held") +
                    read_text("/c"));
        check_body(caller, "/a");
        wait_for_held(upstream, 1);
        wait_for_event(fixture, "request-read-ahead", 2);
        CHECK(upstream.executions() == 2);
        upstream.release();
        check_body(caller, "/once/held");
        check_body(caller, "/c");
    }
    CHECK(event(fixture, "request-started-beside") == 0);
    CHECK(upstream.executions() == 3);
}

// Guards against a caller that pipelines requests for large responses, reads
// none, and so takes the memory for the responses of other callers.
TEST_CASE("a pipelining caller that reads nothing takes a part of the memory",
          "[entry][pipelined]")
{
    constexpr std::size_t budget = 16 * 1024 * 1024;
    std::string const body(1024 * 1024, 'x');
    entry_fixture fixture;
    fixture.add_upstream(
        [&](received_request const& request)
        {
            return raw_reply{complete_response(request, body)};
        });
    fixture.settings.memory.buffered_answers_bytes = budget;
    fixture.settings.threads = 1;
    fixture.start();
    // The size of the responses is known from an earlier one.
    REQUIRE(fixture.exchange(read_text("/first")));
    raw_caller slow(fixture.instance().callers_port());
    constexpr int requests = 40;
    std::string text;
    for (int number = 0; number < requests; ++number)
        text += read_text("/" + std::to_string(number));
    slow.send(text);
    wait_for_event(fixture, "request-started-beside", 1);
    std::uint64_t peak = 0;
    for (int number = 0; number < 50; ++number)
    {
        raw_caller other(fixture.instance().callers_port());
        other.send(read_text("/other"));
        check_body(other, body);
        peak = std::max(peak,
                        fixture.metric("kumquatloom_buffered_answers_bytes"));
    }
    CHECK(peak <= budget / 2);
    for (int number = 0; number < requests; ++number)
        check_body(slow, body);
}

// Guards against a request that runs after its key was removed because it was
// admitted before it waited for a slot or a connection behind others.
TEST_CASE("a removed key refuses pipelined requests that wait for an upstream",
          "[entry][pipelined]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond);
    // The upstream has six slots, but a worker has four connections to it.
    constexpr unsigned connections = 4;
    fixture.settings.threads = 1;
    fixture.settings.upstreams.connections_per_upstream = connections;
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    std::string text;
    for (unsigned number = 0; number < connections + 6; ++number)
        text += read_text("/held/" + std::to_string(number));
    caller.send(text + order_text);
    wait_for_held(upstream, connections);
    wait_for_event(fixture, "request-started-beside", connections + 5);
    fixture.remove_credential();
    upstream.release();
    for (unsigned number = 0; number < connections; ++number)
        check_body(caller, "/held/" + std::to_string(number));
    for (unsigned number = 0; number < 7; ++number)
    {
        auto const refusal = caller.receive();
        REQUIRE(refusal);
        CHECK(refusal->result_int() == 401);
    }
    CHECK(upstream.executions() == connections);
}
