#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;
using kumquatloom::stand_ins::platform_store_stand_in;
using kumquatloom::stand_ins::store_behaviour;

std::string const safe_read = platform_request("GET", "/read/1");
std::string const unsafe_order = platform_request("POST", "/order/1", "kit");

/// A response of an upstream that is leaving.
raw_reply leaving_reply(received_request const& request,
                        std::string_view more_headers = {},
                        std::string_view status = "200 OK")
{
    return {
        platform_response(request,
                          "done",
                          "Server-Leaving: 1\r\n" + std::string(more_headers),
                          status)};
}

} // namespace

// Guards against new requests to an upstream that has announced its departure
// in a response before the store lists it as leaving.
TEST_CASE("an upstream that announces its departure gets nothing new",
          "[platform]")
{
    platform_fixture fixture;
    std::string status = "200 OK";
    std::string more_headers;
    auto& leaving = fixture.add_upstream(
        [&](received_request const& request)
        {
            return leaving_reply(request, more_headers, status);
        });

    SECTION("with a successful response")
    {
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 200);
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        CHECK(leaving.executions() == 1);
    }

    SECTION("with a failure")
    {
        status = "500 Internal Server Error";
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 500);
        CHECK(fixture.exchange(safe_read)->result_int() == 503);
        CHECK(leaving.executions() == 1);
    }

    SECTION("with a refusal, and the request is run elsewhere")
    {
        status = "503 Service Unavailable";
        more_headers = "Not-Executed: 1\r\n";
        auto& other = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{platform_response(request, "done")};
            });
        fixture.start_ready();
        for (int number = 0; number < 20; ++number)
            CHECK(fixture.exchange(safe_read)->result_int() == 200);
        CHECK(leaving.executions() <= 1);
        CHECK(other.executions() == 20);
    }

    SECTION("before the body of the response is complete")
    {
        auto& incomplete = fixture.add_upstream(
            [](received_request const& request)
            {
                // The body is longer than any that is sent, so that only the
                // head of the response arrives.
                std::string text("HTTP/1.1 200 OK\r\nRequest-Id: ");
                text.append(request["Request-Id"].data(),
                            request["Request-Id"].size());
                text.append("\r\nResponse-Signature: 3e1b.07\r\n"
                            "Server-Leaving: 1\r\nContent-Length: 9\r\n\r\n");
                raw_reply reply;
                reply.bytes = text;
                return reply;
            });
        fixture.put_entry("i-1", leaving.port(), "draining");
        fixture.start_ready();
        raw_caller waiting(fixture.instance().callers_port());
        waiting.send(unsafe_order);
        platform_fixture::wait_until(
            [&]
            {
                auto const response = fixture.exchange(
                    platform_request("GET", "/read/1", {}, 300));
                return response && response->result_int() == 503;
            });
        auto const before = incomplete.executions();
        CHECK(fixture.exchange(safe_read)->result_int() == 503);
        CHECK(incomplete.executions() == before);
        CHECK(leaving.executions() == 0);
    }

    SECTION("while the store still lists it as ready")
    {
        fixture.start_ready();
        CHECK(fixture.exchange(safe_read)->result_int() == 200);
        fixture.put_entry("i-1", leaving.port(), "ready");
        fixture.wait_for_reads();
        CHECK(fixture.exchange(safe_read)->result_int() == 503);
        CHECK(leaving.executions() == 1);
    }

    SECTION("while the store cannot be reached")
    {
        fixture.start_ready();
        fixture.with_store(
            [](platform_store_stand_in& store)
            {
                store.change_behaviour(store_behaviour::silent);
            });
        CHECK(fixture.exchange(safe_read)->result_int() == 200);
        CHECK(fixture.exchange(safe_read)->result_int() == 503);
        CHECK(leaving.executions() == 1);
    }

    SECTION("but another process at its address does")
    {
        fixture.start_ready();
        CHECK(fixture.exchange(safe_read)->result_int() == 200);
        fixture.put_entry("i-1", leaving.port(), "ready", "shop", 2);
        platform_fixture::wait_until(
            [&]
            {
                return fixture.exchange(safe_read)->result_int() == 200;
            });
        CHECK(leaving.executions() == 2);
    }

    SECTION("and another value says nothing")
    {
        auto& staying = fixture.add_upstream(
            [](received_request const& request)
            {
                return raw_reply{platform_response(
                    request, "done", "Server-Leaving: 0\r\n")};
            });
        fixture.start_ready();
        for (int number = 0; number < 10; ++number)
            CHECK(fixture.exchange(safe_read)->result_int() == 200);
        CHECK(staying.executions() >= 9);
    }
}

// Guards against requests that were waiting for a connection when the upstream
// announced its departure.
TEST_CASE("requests at a leaving upstream end in peace", "[platform]")
{
    platform_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            auto reply = leaving_reply(request);
            reply.hold = request.target() == "/order/held";
            return reply;
        });
    fixture.start_ready();
    raw_caller held(fixture.instance().callers_port());
    held.send(platform_request("POST", "/order/held", "kit"));
    platform_fixture::wait_until(
        [&]
        {
            return upstream.held() == 1;
        });
    CHECK(fixture.exchange(unsafe_order)->result_int() == 200);
    CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
    upstream.release();
    auto const response = held.receive();
    REQUIRE(response);
    CHECK(response->result_int() == 200);
    CHECK(upstream.executions() == 2);
}
