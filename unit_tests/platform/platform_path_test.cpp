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

raw_reply whole(received_request const& request)
{
    return {platform_answer(request, "done")};
}

raw_reply refusing(received_request const& request)
{
    return {platform_answer(
        request, "", "Not-Executed: 1\r\n", "503 Service Unavailable")};
}

raw_reply reset(received_request const&)
{
    raw_reply reply;
    reply.reset = true;
    return reply;
}

std::string const unsafe_order = platform_request("POST", "/order/1", "kit");
std::string const safe_read = platform_request("GET", "/read/1");

/// What a client gets from a single back end with the script.
received_response answer_to(raw_upstream::script script,
                            std::string const& request)
{
    platform_fixture fixture;
    fixture.add_upstream(std::move(script));
    fixture.start_ready();
    auto const answer = fixture.ask(request);
    REQUIRE(answer);
    return *answer;
}

} // namespace

// Guards against requests that reach a back end changed, or a wrong one.
TEST_CASE("a request reaches a back end as it was sent", "[platform]")
{
    platform_fixture fixture;
    received_request seen;
    fixture.add_upstream(
        [&](received_request const& request)
        {
            seen = request;
            return whole(request);
        });
    fixture.start_ready();
    auto const answer = fixture.ask(
        platform_request("PUT",
                         "/order/1?x=%20y",
                         "body",
                         9000,
                         "X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"));
    REQUIRE(answer);
    CHECK(answer->result_int() == 200);
    CHECK(answer->body() == "done");
    CHECK((*answer)["Response-Signature"] == "3e1b.07");
    CHECK((*answer)["Request-Id"] == "9c41d07be2a35f68");
    CHECK(seen.method_string() == "PUT");
    CHECK(seen.target() == "/order/1?x=%20y");
    CHECK(seen.body() == "body");
    CHECK(seen["Host"] == "shop.example");
    CHECK(seen["Request-Id"] == "9c41d07be2a35f68");
    CHECK(seen["Expected-Instance"] == "i-1");
    CHECK(seen["X-Own"] == "1");
    CHECK(seen.count("X-Hop") == 0);
    CHECK(seen.count("Deadline-Ms") == 1);
    auto const left = std::stoi(std::string(seen["Deadline-Ms"]));
    CHECK(left <= 9000);
    CHECK(left > 0);
}

// Guards against answers that are partial, forged or another request's.
TEST_CASE("only a back end's own whole answer is a success", "[platform]")
{
    SECTION("one without a signature is none")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto text = platform_answer(request, "done");
                text.replace(
                    text.find("Response-Signature"), 18, "X-Nothing-Of-Value");
                return raw_reply{text};
            },
            unsafe_order);
        CHECK(answer.result_int() == 502);
    }

    SECTION("nor is an encoded one")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                return raw_reply{platform_answer(
                    request, "done", "Content-Encoding: gzip\r\n")};
            },
            unsafe_order);
        CHECK(answer.result_int() == 502);
    }

    SECTION("nor one that ends early")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto text = platform_answer(request, "done");
                text.pop_back();
                return raw_reply{text, true};
            },
            unsafe_order);
        CHECK(answer.result_int() == 502);
    }

    SECTION("bytes that are no answer do not reach the client")
    {
        auto const answer = answer_to(
            [](received_request const&)
            {
                return raw_reply{"\x01\x02 nonsense\r\n\r\n", true};
            },
            unsafe_order);
        CHECK(answer.result_int() == 502);
    }

    SECTION("a body that ends with the connection is whole")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto text = platform_answer(request, "done");
                auto const at = text.find("Content-Length: 4\r\n");
                return raw_reply{text.erase(at, 19), true};
            },
            unsafe_order);
        CHECK(answer.result_int() == 200);
        CHECK(answer.body() == "done");
    }

    SECTION("unless the connection is reset")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto text = platform_answer(request, "done");
                auto const at = text.find("Content-Length: 4\r\n");
                raw_reply reply{text.erase(at, 19)};
                reply.reset = true;
                return reply;
            },
            unsafe_order);
        CHECK(answer.result_int() == 502);
    }

    SECTION("an answer to an earlier request is skipped")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                received_request other = request;
                other.set("Request-Id", "another");
                return raw_reply{platform_answer(other, "wrong") +
                                 platform_answer(request, "right")};
            },
            unsafe_order);
        CHECK(answer.result_int() == 200);
        CHECK(answer.body() == "right");
    }

    SECTION("a failure keeps its status and signature")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                return raw_reply{platform_answer(
                    request, "no", {}, "500 Internal Server Error")};
            },
            unsafe_order);
        CHECK(answer.result_int() == 500);
        CHECK(answer["Response-Signature"] == "3e1b.07");
    }
}

// Guards against a request that runs twice, and against a client that is told
// "not run" although its request may have run.
TEST_CASE("an unsafe request is sent again only if it did not run",
          "[platform]")
{
    platform_fixture fixture;

    SECTION("not after a reset")
    {
        auto& first = fixture.add_upstream(reset);
        auto& second = fixture.add_upstream(reset);
        fixture.start_ready();
        auto const answer = fixture.ask(unsafe_order);
        REQUIRE(answer);
        CHECK(answer->result_int() == 502);
        CHECK(answer->count("Retry-After") == 0);
        CHECK(first.executions() + second.executions() == 1);
    }

    SECTION("but after a refusal")
    {
        std::atomic<unsigned> asked{0};
        auto const first_refuses = [&](received_request const& request)
        {
            return asked++ == 0 ? refusing(request) : whole(request);
        };
        fixture.add_upstream(first_refuses);
        fixture.add_upstream(first_refuses);
        fixture.start_ready();
        auto const answer = fixture.ask(unsafe_order);
        REQUIRE(answer);
        CHECK(answer->result_int() == 200);
        CHECK(asked == 2);
    }

    SECTION("and after 421 of a back end that has taken over the address")
    {
        std::atomic<unsigned> asked{0};
        auto const other_first = [&](received_request const& request)
        {
            return asked++ == 0
                       ? raw_reply{platform_answer(
                             request, "", {}, "421 Misdirected Request")}
                       : whole(request);
        };
        fixture.add_upstream(other_first);
        fixture.add_upstream(other_first);
        fixture.start_ready();
        CHECK(fixture.ask(unsafe_order)->result_int() == 200);
    }

    SECTION("which gets nothing more under the old name")
    {
        auto& moved = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{platform_answer(
                    request, "", {}, "421 Misdirected Request")};
            });
        fixture.add_upstream(whole);
        fixture.start_ready();
        for (int i = 0; i < 10; ++i)
        {
            CHECK(fixture.ask(unsafe_order)->result_int() == 200);
            // A refusal is taken for full slots for 200 ms at the most.
            std::this_thread::sleep_for(std::chrono::milliseconds(210));
        }
        CHECK(moved.executions() <= 1);
    }

    SECTION("a client is told so, and when to come back")
    {
        fixture.add_upstream(refusing);
        fixture.start_ready();
        auto const answer = fixture.ask(unsafe_order);
        REQUIRE(answer);
        CHECK(answer->result_int() == 503);
        CHECK(answer->count("Retry-After") == 1);
    }

    SECTION("a status that promises it without proof is not passed on")
    {
        auto const status = GENERATE(std::string("503 Service Unavailable"),
                                     std::string("429 Too Many Requests"),
                                     std::string("408 Request Timeout"));
        auto& upstream = fixture.add_upstream(
            [status](received_request const& request)
            {
                return raw_reply{platform_answer(request, "", {}, status)};
            });
        fixture.start_ready();
        CHECK(fixture.ask(unsafe_order)->result_int() == 502);
        CHECK(upstream.executions() == 1);
    }
}

// Guards against more attempts than the route permits.
TEST_CASE("a safe request is tried again within the route's bound",
          "[platform]")
{
    platform_fixture fixture;
    std::atomic<unsigned> asked{0};
    auto const failing = [&](received_request const& request)
    {
        ++asked;
        return reset(request);
    };
    for (int i = 0; i < 4; ++i)
        fixture.add_upstream(failing);
    fixture.start_ready();
    CHECK(fixture.ask(safe_read)->result_int() == 502);
    CHECK(asked == 2);
}

// Guards against work for clients that have left, and against clients that
// wait longer than the operator wants.
TEST_CASE("nobody works or waits in vain", "[platform]")
{
    platform_fixture fixture;
    raw_reply held;
    held.hold = true;
    auto& upstream = fixture.add_upstream(
        [held](received_request const&)
        {
            return held;
        });

    SECTION("a client that leaves is cancelled at its back end")
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

    SECTION("the route's time ends in a final answer")
    {
        fixture.put_configuration(
            2,
            R"(["order","shop.example","/order/","unsafe",2,1,1,null,2,)"
            R"("shop"])");
        fixture.start_ready();
        CHECK(fixture.ask(unsafe_order)->result_int() == 504);
    }
}

// Guards against requests that go where no configuration sends them.
TEST_CASE("the configuration in force decides", "[platform]")
{
    platform_fixture fixture;
    fixture.add_upstream(whole);

    SECTION("what it does not route is not found")
    {
        fixture.start_ready();
        CHECK(fixture.ask(platform_request("GET", "/other/1"))->result_int() ==
              404);
        // A prefix ends with its slash.
        CHECK(fixture.ask(platform_request("GET", "/read"))->result_int() ==
              404);
        CHECK(
            fixture.ask(platform_request("GET", "/readable/1"))->result_int() ==
            404);
        CHECK(fixture.ask(platform_request("GET", "/read/"))->result_int() ==
              200);
    }

    SECTION("a new one is in force within moments")
    {
        fixture.start_ready();
        fixture.put_configuration(
            5, R"(["new","shop.example","/new/","safe",20,5,2,null,2,"shop"])");
        fixture.wait_until(
            [&]
            {
                return fixture.ask(platform_request("GET", "/new/1"))
                           ->result_int() == 200;
            });
        CHECK(fixture.ask(safe_read)->result_int() == 404);
    }

    SECTION("an older one never is")
    {
        fixture.put_configuration(
            5, R"(["new","shop.example","/new/","safe",20,5,2,null,2,"shop"])");
        fixture.start_ready();
        fixture.put_configuration(
            4,
            R"(["old","shop.example","/read/","safe",20,5,2,null,2,"shop"])");
        fixture.wait_for_reads();
        CHECK(fixture.ask(safe_read)->result_int() == 404);
    }

    SECTION("a split divides the requests by weight")
    {
        auto& other = fixture.add_upstream(whole, "other");
        fixture.put_configuration(
            5,
            R"(["s","shop.example","/order/","unsafe",20,5,1,)"
            R"([{"service":"shop","weight":50},)"
            R"({"service":"other","weight":50}],2,null])");
        fixture.start_ready();
        for (int i = 0; i < 60; ++i)
            CHECK(fixture.ask(unsafe_order)->result_int() == 200);
        CHECK(other.executions() > 0);
        CHECK(other.executions() < 60);
    }
}

// Guards against an instance that says it is ready although it knows nothing,
// and against one that forgets what it knows.
TEST_CASE("an instance serves by what it knows", "[platform]")
{
    platform_fixture fixture;
    fixture.add_upstream(whole);

    SECTION("nothing yet: not ready, and clients are told to come back")
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
        auto const answer = fixture.ask(safe_read);
        REQUIRE(answer);
        CHECK(answer->result_int() == 503);
        CHECK(answer->count("Retry-After") == 1);
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
        CHECK(fixture.ask(safe_read)->result_int() == 200);
    }

    SECTION("a request that comes while it starts waits for the configuration")
    {
        fixture.settings.max_start_delay = std::chrono::seconds(20);
        fixture.start();
        CHECK(fixture.ask(safe_read)->result_int() == 200);
    }

    SECTION("it goes on while the store is down")
    {
        fixture.start_ready();
        fixture.with_store(
            [](platform_store_stand_in& store)
            {
                store.change_behaviour(store_behaviour::refusing);
            });
        fixture.wait_for_reads();
        CHECK(fixture.ask(safe_read)->result_int() == 200);
        CHECK(fixture.readiness() == 200);
    }

    SECTION("it finds its way when the store has forgotten its history")
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
                return fixture.ask(platform_request("GET", "/new/1"))
                           ->result_int() == 200;
            });
    }
}

// Guards against work for a back end that is leaving.
TEST_CASE("a back end that drains gets nothing new", "[platform]")
{
    platform_fixture fixture;
    auto& first = fixture.add_upstream(whole);
    auto& second = fixture.add_upstream(whole);
    fixture.start_ready();
    fixture.put_entry("i-1", first.port(), "draining");
    fixture.wait_for_reads();
    auto const before = first.executions();
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.ask(unsafe_order)->result_int() == 200);
    CHECK(first.executions() == before);
    CHECK(second.executions() >= 20);
}

// Guards against a planned stop that interrupts a request.
TEST_CASE("an instance that leaves answers what it has taken", "[platform]")
{
    platform_fixture fixture;
    raw_reply held;
    held.hold = true;
    auto& upstream = fixture.add_upstream(
        [held](received_request const& request)
        {
            auto reply = held;
            reply.bytes = platform_answer(request, "done");
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
    auto const answer = caller.receive();
    REQUIRE(answer);
    CHECK(answer->result_int() == 200);
    CHECK((*answer)["Connection"] == "close");
}
