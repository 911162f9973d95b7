#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;
using kumquatloom::stand_ins::platform_store_stand_in;
using kumquatloom::stand_ins::store_behaviour;

raw_reply respond(received_request const& request)
{
    return {platform_response(request, "done")};
}

raw_reply refuse(received_request const& request)
{
    return {platform_response(
        request, "", "Not-Executed: 1\r\n", "503 Service Unavailable")};
}

raw_reply reset_connection(received_request const&)
{
    raw_reply reply;
    reply.reset = true;
    return reply;
}

std::string const unsafe_order = platform_request("POST", "/order/1", "kit");
std::string const safe_read = platform_request("GET", "/read/1");

/// Returns what a caller receives if the only upstream runs the script.
received_response response_of(raw_upstream::script script,
                              std::string const& request)
{
    platform_fixture fixture;
    fixture.add_upstream(std::move(script));
    fixture.start_ready();
    auto const response = fixture.exchange(request);
    REQUIRE(response);
    return *response;
}

} // namespace

// Guards against requests that are changed on their way or reach the wrong
// upstream.
TEST_CASE("a request is forwarded unchanged", "[platform]")
{
    platform_fixture fixture;
    received_request forwarded;
    fixture.add_upstream(
        [&](received_request const& request)
        {
            forwarded = request;
            return respond(request);
        });
    fixture.start_ready();
    auto const response = fixture.exchange(
        platform_request("PUT",
                         "/order/1?x=%20y",
                         "body",
                         9000,
                         "X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(response->body() == "done");
    CHECK((*response)["Response-Signature"] == "3e1b.07");
    CHECK((*response)["Request-Id"] == "9c41d07be2a35f68");
    CHECK(forwarded.method_string() == "PUT");
    CHECK(forwarded.target() == "/order/1?x=%20y");
    CHECK(forwarded.body() == "body");
    CHECK(forwarded["Host"] == "shop.example");
    CHECK(forwarded["Request-Id"] == "9c41d07be2a35f68");
    CHECK(forwarded["Expected-Instance"] == "i-1");
    CHECK(forwarded["X-Own"] == "1");
    CHECK(forwarded.count("X-Hop") == 0);
    CHECK(forwarded.count("Deadline-Ms") == 1);
    auto const remaining_ms = std::stoi(std::string(forwarded["Deadline-Ms"]));
    CHECK(remaining_ms <= 9000);
    CHECK(remaining_ms > 0);
}

// Guards against passing on responses that are truncated, forged or belong to
// another request.
TEST_CASE("only complete and verified responses are passed on", "[platform]")
{
    SECTION("a response without a signature is rejected")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                auto text = platform_response(request, "done");
                text.replace(
                    text.find("Response-Signature"), 18, "X-Nothing-Of-Value");
                return raw_reply{text};
            },
            unsafe_order);
        CHECK(response.result_int() == 502);
    }

    SECTION("an encoded response is rejected")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                return raw_reply{platform_response(
                    request, "done", "Content-Encoding: gzip\r\n")};
            },
            unsafe_order);
        CHECK(response.result_int() == 502);
    }

    SECTION("a truncated response is rejected")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                auto text = platform_response(request, "done");
                text.pop_back();
                return raw_reply{text, true};
            },
            unsafe_order);
        CHECK(response.result_int() == 502);
    }

    SECTION("malformed bytes are not passed on to the caller")
    {
        auto const response = response_of(
            [](received_request const&)
            {
                return raw_reply{"\x01\x02 nonsense\r\n\r\n", true};
            },
            unsafe_order);
        CHECK(response.result_int() == 502);
    }

    SECTION("a body delimited by the end of the connection is complete")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                auto text = platform_response(request, "done");
                auto const at = text.find("Content-Length: 4\r\n");
                return raw_reply{text.erase(at, 19), true};
            },
            unsafe_order);
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "done");
    }

    SECTION("a body delimited by a connection reset is rejected")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                auto text = platform_response(request, "done");
                auto const at = text.find("Content-Length: 4\r\n");
                raw_reply reply{text.erase(at, 19)};
                reply.reset = true;
                return reply;
            },
            unsafe_order);
        CHECK(response.result_int() == 502);
    }

    SECTION("a response to an earlier request is skipped")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                received_request other = request;
                other.set("Request-Id", "another");
                return raw_reply{platform_response(other, "wrong") +
                                 platform_response(request, "right")};
            },
            unsafe_order);
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "right");
    }

    SECTION("an error response keeps its status and signature")
    {
        auto const response = response_of(
            [](received_request const& request)
            {
                return raw_reply{platform_response(
                    request, "no", {}, "500 Internal Server Error")};
            },
            unsafe_order);
        CHECK(response.result_int() == 500);
        CHECK(response["Response-Signature"] == "3e1b.07");
    }
}

// Guards against a request that is executed twice, and against a caller that is
// told "not executed" although its request may have been.
TEST_CASE("an unsafe request is retried only if it was not executed",
          "[platform]")
{
    platform_fixture fixture;

    SECTION("it is not retried after a reset")
    {
        auto& first = fixture.add_upstream(reset_connection);
        auto& second = fixture.add_upstream(reset_connection);
        fixture.start_ready();
        auto const response = fixture.exchange(unsafe_order);
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        CHECK(response->count("Retry-After") == 0);
        CHECK(first.executions() + second.executions() == 1);
    }

    SECTION("it is retried after a refusal")
    {
        std::atomic<unsigned> attempts{0};
        auto const refuse_first = [&](received_request const& request)
        {
            return attempts++ == 0 ? refuse(request) : respond(request);
        };
        fixture.add_upstream(refuse_first);
        fixture.add_upstream(refuse_first);
        fixture.start_ready();
        auto const response = fixture.exchange(unsafe_order);
        REQUIRE(response);
        CHECK(response->result_int() == 200);
        CHECK(attempts == 2);
    }

    SECTION("it is retried after 421 from an upstream that now has the address")
    {
        std::atomic<unsigned> attempts{0};
        auto const misdirect_first = [&](received_request const& request)
        {
            return attempts++ == 0
                       ? raw_reply{platform_response(
                             request, "", {}, "421 Misdirected Request")}
                       : respond(request);
        };
        fixture.add_upstream(misdirect_first);
        fixture.add_upstream(misdirect_first);
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 200);
    }

    SECTION("an upstream that has responded with 421 receives no more requests")
    {
        auto& moved = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{platform_response(
                    request, "", {}, "421 Misdirected Request")};
            });
        fixture.add_upstream(respond);
        fixture.start_ready();
        for (int i = 0; i < 10; ++i)
        {
            CHECK(fixture.exchange(unsafe_order)->result_int() == 200);
            // A refusal makes the upstream count as full for at most 200 ms.
            std::this_thread::sleep_for(std::chrono::milliseconds(210));
        }
        CHECK(moved.executions() <= 1);
    }

    SECTION("the caller gets 503 with Retry-After if no upstream executes it")
    {
        fixture.add_upstream(refuse);
        fixture.start_ready();
        auto const response = fixture.exchange(unsafe_order);
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(response->count("Retry-After") == 1);
    }

    SECTION("a status that only implies a refusal is not passed on")
    {
        auto const status = GENERATE(std::string("503 Service Unavailable"),
                                     std::string("429 Too Many Requests"),
                                     std::string("408 Request Timeout"));
        auto& upstream = fixture.add_upstream(
            [status](received_request const& request)
            {
                return raw_reply{platform_response(request, "", {}, status)};
            });
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 502);
        CHECK(upstream.executions() == 1);
    }
}

// Guards against more attempts than the route allows.
TEST_CASE("a safe request is retried within the route's limit", "[platform]")
{
    platform_fixture fixture;
    std::atomic<unsigned> attempts{0};
    auto const reset_and_count = [&](received_request const& request)
    {
        ++attempts;
        return reset_connection(request);
    };
    for (int i = 0; i < 4; ++i)
        fixture.add_upstream(reset_and_count);
    fixture.start_ready();
    CHECK(fixture.exchange(safe_read)->result_int() == 502);
    CHECK(attempts == 2);
}

// Guards against upstreams that work for callers that have disconnected, and
// against callers that wait longer than the route's time limit.
TEST_CASE("abandoned and overdue requests end", "[platform]")
{
    platform_fixture fixture;
    raw_reply held_reply;
    held_reply.hold = true;
    auto& upstream = fixture.add_upstream(
        [held_reply](received_request const&)
        {
            return held_reply;
        });

    SECTION("the request of a disconnected caller is cancelled at the upstream")
    {
        fixture.start_ready();
        raw_caller caller(fixture.instance().callers_port());
        caller.send(safe_read);
        fixture.wait_until(
            [&]
            {
                return upstream.held() == 1;
            });
        caller.close();
        fixture.wait_until(
            [&]
            {
                return upstream.cancelled() == 1;
            });
    }

    SECTION("the route's time limit ends in a 504")
    {
        fixture.put_configuration(
            2,
            R"(["order","shop.example","/order/","unsafe",2,1,1,null,2,)"
            R"("shop"])");
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 504);
    }
}

// Guards against requests that are routed differently from the configuration in
// force.
TEST_CASE("requests are routed by the configuration in force", "[platform]")
{
    platform_fixture fixture;
    fixture.add_upstream(respond);

    SECTION("requests without a route get 404")
    {
        fixture.start_ready();
        CHECK(fixture.exchange(platform_request("GET", "/other/1"))
                  ->result_int() == 404);
        // A prefix matches only with its trailing slash.
        CHECK(
            fixture.exchange(platform_request("GET", "/read"))->result_int() ==
            404);
        CHECK(fixture.exchange(platform_request("GET", "/readable/1"))
                  ->result_int() == 404);
        CHECK(
            fixture.exchange(platform_request("GET", "/read/"))->result_int() ==
            200);
    }

    SECTION("a new configuration takes effect")
    {
        fixture.start_ready();
        fixture.put_configuration(
            5, R"(["new","shop.example","/new/","safe",20,5,2,null,2,"shop"])");
        fixture.wait_until(
            [&]
            {
                return fixture.exchange(platform_request("GET", "/new/1"))
                           ->result_int() == 200;
            });
        CHECK(fixture.exchange(safe_read)->result_int() == 404);
    }

    SECTION("an older configuration does not take effect")
    {
        fixture.put_configuration(
            5, R"(["new","shop.example","/new/","safe",20,5,2,null,2,"shop"])");
        fixture.start_ready();
        fixture.put_configuration(
            4,
            R"(["old","shop.example","/read/","safe",20,5,2,null,2,"shop"])");
        fixture.wait_for_reads();
        CHECK(fixture.exchange(safe_read)->result_int() == 404);
    }

    SECTION("a split divides the requests by weight")
    {
        auto& other = fixture.add_upstream(respond, "other");
        fixture.put_configuration(
            5,
            R"(["s","shop.example","/order/","unsafe",20,5,1,)"
            R"([{"service":"shop","weight":50},)"
            R"({"service":"other","weight":50}],2,null])");
        fixture.start_ready();
        for (int i = 0; i < 60; ++i)
            CHECK(fixture.exchange(unsafe_order)->result_int() == 200);
        CHECK(other.executions() > 0);
        CHECK(other.executions() < 60);
    }
}

// Guards against an instance that reports ready before it has a configuration,
// and against one that discards its configuration during an outage of the
// store.
TEST_CASE("an instance serves once it has a configuration", "[platform]")
{
    platform_fixture fixture;
    fixture.add_upstream(respond);

    SECTION("before that it is not ready and responds with Retry-After")
    {
        auto const behaviour =
            GENERATE(store_behaviour::down, store_behaviour::silent);
        fixture.with_store(
            [&](platform_store_stand_in& store)
            {
                store.change_behaviour(behaviour);
            });
        fixture.settings.max_start_delay = std::chrono::milliseconds(10);
        fixture.start();
        CHECK(fixture.readiness() == 503);
        auto const response = fixture.exchange(safe_read);
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        CHECK(response->count("Retry-After") == 1);
        fixture.with_store(
            [](platform_store_stand_in& store)
            {
                store.change_behaviour(store_behaviour::normal);
            });
        fixture.wait_until(
            [&]
            {
                return fixture.readiness() == 200;
            });
        CHECK(fixture.exchange(safe_read)->result_int() == 200);
    }

    SECTION("a request during the start waits for the configuration")
    {
        fixture.settings.max_start_delay = std::chrono::seconds(20);
        fixture.start();
        CHECK(fixture.exchange(safe_read)->result_int() == 200);
    }

    SECTION("it continues to serve while the store is down")
    {
        fixture.start_ready();
        fixture.with_store(
            [](platform_store_stand_in& store)
            {
                store.change_behaviour(store_behaviour::refusing);
            });
        fixture.wait_for_reads();
        CHECK(fixture.exchange(safe_read)->result_int() == 200);
        CHECK(fixture.readiness() == 200);
    }

    SECTION("it recovers after the store has discarded its history")
    {
        fixture.start_ready();
        fixture.put_configuration(
            9, R"(["n","shop.example","/new/","safe",20,5,2,null,2,"shop"])");
        fixture.with_store(
            [](platform_store_stand_in& store)
            {
                store.clear_history();
            });
        fixture.wait_until(
            [&]
            {
                return fixture.exchange(platform_request("GET", "/new/1"))
                           ->result_int() == 200;
            });
    }
}

// Guards against requests that are sent to an upstream that is draining.
TEST_CASE("a draining upstream receives no new requests", "[platform]")
{
    platform_fixture fixture;
    auto& first = fixture.add_upstream(respond);
    auto& second = fixture.add_upstream(respond);
    fixture.start_ready();
    fixture.put_entry("i-1", first.port(), "draining");
    fixture.wait_for_reads();
    auto const before = first.executions();
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.exchange(unsafe_order)->result_int() == 200);
    CHECK(first.executions() == before);
    CHECK(second.executions() >= 20);
}

// Guards against a graceful shutdown that interrupts a request.
TEST_CASE("a graceful shutdown completes requests in progress", "[platform]")
{
    platform_fixture fixture;
    raw_reply held_reply;
    held_reply.hold = true;
    auto& upstream = fixture.add_upstream(
        [held_reply](received_request const& request)
        {
            auto reply = held_reply;
            reply.bytes = platform_response(request, "done");
            return reply;
        });
    fixture.start_ready();
    CHECK(fixture.directory().find("127.0.0.1:") == 0);
    raw_caller caller(fixture.instance().callers_port());
    caller.send(unsafe_order);
    fixture.wait_until(
        [&]
        {
            return upstream.held() == 1;
        });
    fixture.instance().begin_shutdown();
    fixture.wait_until(
        [&]
        {
            return fixture.readiness() == 503;
        });
    upstream.release();
    auto const response = caller.receive();
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK((*response)["Connection"] == "close");
}
