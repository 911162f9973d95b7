#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <unit_tests/entry/entry_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

/// Responds with the target; holds requests for targets under /held.
raw_reply respond_or_hold(received_request const& request)
{
    std::string const target(request.target());
    return {complete_response(request, target),
            false,
            false,
            target.starts_with("/held")};
}

std::string read_text(std::string const& target,
                      std::string_view more_headers = {})
{
    return request_text("GET", target, {}, more_headers);
}

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

void check_body(raw_caller& caller, std::string const& body)
{
    auto const response = caller.receive();
    REQUIRE(response);
    CHECK(response->body() == body);
}

} // namespace

// Guards against responses in the wrong order, and against requests that wait
// for an earlier one of their connection although they could run beside it.
TEST_CASE("pipelined idempotent requests run beside each other", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_or_hold);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("responses keep the order of the requests")
    {
        SECTION("in one segment")
        {
            caller.send(read_text("/held") + read_text("/b") + read_text("/c"));
        }
        SECTION("one by one")
        {
            caller.send(read_text("/held"));
            entry_fixture::wait_until(
                [&]
                {
                    return upstream.held() == 1;
                });
            auto const text = read_text("/b") + read_text("/c");
            caller.send(text.substr(0, 70));
            caller.send(text.substr(70));
        }
        SECTION("with a body")
        {
            caller.send(read_text("/held") + request_text("PUT", "/b", "new") +
                        read_text("/c"));
        }
        // The first is answered only after the others were.
        entry_fixture::wait_until(
            [&]
            {
                return upstream.executions() == 3;
            });
        CHECK(event(fixture, "request-read-ahead") == 2);
        CHECK(event(fixture, "request-started-beside") == 2);
        upstream.release();
        check_body(caller, "/held");
        check_body(caller, "/b");
        check_body(caller, "/c");
    }

    SECTION("requests beyond the window follow, and all are answered in order")
    {
        std::string text;
        for (int number = 0; number < 200; ++number)
            text += read_text("/" + std::to_string(number));
        caller.send(text);
        for (int number = 0; number < 200; ++number)
            check_body(caller, "/" + std::to_string(number));
        CHECK(upstream.executions() == 200);
    }

    SECTION("a request that was read in part is completed in its turn")
    {
        auto const last = read_text("/last");
        caller.send(read_text("/held") + last.substr(0, 30));
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        upstream.release();
        check_body(caller, "/held");
        caller.send(last.substr(30));
        check_body(caller, "/last");
    }

    SECTION("a chunked request waits for its turn")
    {
        caller.send(
            read_text("/held") +
            request_text("PUT", "/b", {}, "Transfer-Encoding: chunked\r\n") +
            "3\r\nabc\r\n0\r\n\r\n" + read_text("/c"));
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        upstream.release();
        check_body(caller, "/held");
        check_body(caller, "/b");
        check_body(caller, "/c");
    }
}

// Guards against a non-idempotent request that runs beside others, or twice.
TEST_CASE("a pipelined request that is not idempotent runs alone", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_or_hold);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    auto const exclusive = GENERATE(
        request_text("POST", "/held/once", "body"),
        request_text("GET", "/once/held"),
        request_text(
            "GET", "/held/once", {}, "Kumquatloom-Idempotent: false\r\n"));

    SECTION("after those before it")
    {
        caller.send(read_text("/held") + read_text("/b") + exclusive +
                    read_text("/d"));
        wait_for_event(fixture, "request-read-ahead", 3);
        entry_fixture::wait_until(
            [&]
            {
                return upstream.executions() == 2;
            });
        CHECK(event(fixture, "request-started-beside") == 1);
        upstream.release();
        for (int number = 0; number < 4; ++number)
            REQUIRE(caller.receive());
        CHECK(upstream.executions() == 4);
    }

    SECTION("before those behind it")
    {
        // The first is answered, so that the exclusive one is in front.
        if (exclusive.starts_with("GET /once"))
            return;
        caller.send(read_text("/a") + exclusive + read_text("/c"));
        check_body(caller, "/a");
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        wait_for_event(fixture, "request-read-ahead", 2);
        CHECK(upstream.executions() == 2);
        upstream.release();
        check_body(caller, "/held/once");
        check_body(caller, "/c");
        CHECK(upstream.executions() == 3);
    }
}

// Guards against requests that reach an upstream although the connection closes
// before their response, so that callers send them again.
TEST_CASE("nothing behind a closing response is sent", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_or_hold);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("the caller asks to close")
    {
        caller.send(read_text("/held", "Connection: close\r\n") +
                    read_text("/b") + read_text("/c"));
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        upstream.release();
        check_body(caller, "/held");
        CHECK(caller.ended());
        CHECK(upstream.executions() == 1);
    }

    SECTION("a request with ambiguous framing")
    {
        caller.send(read_text("/held") +
                    request_text("POST",
                                 "/buy",
                                 {},
                                 "Transfer-Encoding: gzip\r\n"
                                 "Content-Length: 0\r\n") +
                    read_text("/c"));
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        upstream.release();
        check_body(caller, "/held");
        auto const refusal = caller.receive();
        REQUIRE(refusal);
        CHECK(refusal->result_int() == 400);
        CHECK(caller.ended());
        CHECK(upstream.executions() == 1);
    }

    SECTION("a planned stop")
    {
        // The POST isn't started beside the others, so it counts as not read.
        caller.send(read_text("/held") + read_text("/held/b") +
                    request_text("POST", "/buy", "body") + read_text("/d"));
        wait_for_event(fixture, "request-read-ahead", 3);
        entry_fixture::wait_until(
            [&]
            {
                return upstream.held() == 2;
            });
        fixture.exchange_with_operators_port("POST", "/drain");
        entry_fixture::wait_until(
            [&]
            {
                return fixture.exchange_with_operators_port("GET", "/readyz")
                           .result_int() != 200;
            });
        upstream.release();
        check_body(caller, "/held");
        auto const last = caller.receive();
        REQUIRE(last);
        CHECK(last->body() == "/held/b");
        CHECK((*last)["Connection"] == "close");
        CHECK(caller.ended());
        CHECK(upstream.executions() == 2);
    }
}

// Guards against requests at upstreams whose caller has left.
TEST_CASE("a caller that leaves cancels all its pipelined requests", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_or_hold);
    fixture.settings.callers.pipelined_requests = 3;
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    // With the last one unread data hides the end of the stream.
    auto const more = GENERATE(0, 30);
    std::string text = read_text("/held") + read_text("/held/b");
    for (int number = 0; number < more; ++number)
        text += read_text("/held/" + std::string(1000, 'x'));
    caller.send(text);
    unsigned const started = more == 0 ? 2 : 3;
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == started;
        });
    caller.close();
    entry_fixture::wait_until(
        [&]
        {
            return upstream.cancelled() == started;
        });
    CHECK(event(fixture, "caller-disconnected") == 1);
    CHECK(upstream.executions() == started);
}

// Guards against a caller that reads no responses and fills the memory.
TEST_CASE("responses that wait for earlier ones take bounded memory", "[entry]")
{
    entry_fixture fixture;
    std::string const large(200 * 1024, 'x');
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            return raw_reply{complete_response(request, large),
                             false,
                             false,
                             request.target() == "/held"};
        });
    fixture.settings.memory.buffered_answers_bytes = 4 * 1024 * 1024;
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    std::string text = read_text("/held");
    for (int number = 0; number < 100; ++number)
        text += read_text("/" + std::to_string(number));
    caller.send(text);
    wait_for_event(fixture, "request-started-beside", 1);
    // Another caller still gets its response.
    auto const other = fixture.exchange(read_text("/other"));
    REQUIRE(other);
    CHECK(other->body() == large);
    upstream.release();
    for (int number = 0; number < 101; ++number)
    {
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->body() == large);
    }
}

// Guards against connections with many pipelined requests that keep out a
// caller with one request.
TEST_CASE("a crowd of pipelining connections leaves room for one caller",
          "[entry]")
{
    entry_fixture fixture;
    fixture.add_upstream(
        [](received_request const& request)
        {
            std::this_thread::sleep_for(1ms);
            return raw_reply{complete_response(request, "done")};
        });
    fixture.start();
    constexpr int connections = 300;
    std::string text;
    for (int number = 0; number < 200; ++number)
        text += read_text("/" + std::to_string(number));
    std::vector<std::unique_ptr<raw_caller>> crowd;
    for (int number = 0; number < connections; ++number)
    {
        crowd.push_back(
            std::make_unique<raw_caller>(fixture.instance().callers_port()));
        crowd.back()->send(text);
    }
    wait_for_event(fixture, "request-received", 2 * connections);
    raw_caller ordinary(fixture.instance().callers_port());
    for (int number = 0; number < 20; ++number)
    {
        auto const response = ordinary.exchange(read_text("/ordinary"));
        REQUIRE(response);
        CHECK(response->result_int() == 200);
    }
}

// Guards against a request that is sent after its key was removed because it
// was read before.
TEST_CASE("a pipelined request is admitted when it starts", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_or_hold);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());
    // The second request waits for the first, and the third for the second.
    caller.send(read_text("/held") + request_text("POST", "/buy", "body") +
                read_text("/c"));
    wait_for_event(fixture, "request-read-ahead", 2);
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == 1;
        });
    fixture.remove_credential();
    upstream.release();
    check_body(caller, "/held");
    for (int number = 0; number < 2; ++number)
    {
        auto const refusal = caller.receive();
        REQUIRE(refusal);
        CHECK(refusal->result_int() == 401);
    }
    CHECK(upstream.executions() == 1);
}
