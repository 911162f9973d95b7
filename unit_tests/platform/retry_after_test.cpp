#include <kumquatloom/request/retry_after.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <unit_tests/platform/platform_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::unit_tests;
using namespace std::chrono_literals;

std::string const safe_read = platform_request("GET", "/read/1");
std::string const unsafe_order = platform_request("POST", "/order/1", "kit");

/// A refusal with these Retry-After fields.
raw_reply refusal(received_request const& request, std::string_view fields)
{
    return {platform_response(request,
                              "",
                              "Not-Executed: 1\r\n" + std::string(fields),
                              "503 Service Unavailable")};
}

raw_reply respond(received_request const& request)
{
    return {platform_response(request, "done")};
}

} // namespace

// Guards against pauses that are misread, and against texts that end the
// process.
TEST_CASE("the Retry-After of an upstream is parsed", "[request]")
{
    using request::parse_retry_after;
    CHECK(parse_retry_after("2") == std::optional<core::duration>(2s));
    CHECK(parse_retry_after("0.25") == std::optional<core::duration>(250ms));
    CHECK(parse_retry_after("0") == std::optional<core::duration>(0s));
    CHECK(parse_retry_after("99999999") ==
          std::optional<core::duration>(request::max_retry_after));
    for (auto const* const text : {"",
                                   " ",
                                   "-1",
                                   "+1",
                                   "1e3",
                                   "inf",
                                   "nan",
                                   "0x10",
                                   "1 2",
                                   "1,5",
                                   ".",
                                   "1.2.3",
                                   "Wed, 21 Oct 2026 07:28:00 GMT"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_retry_after(text));
    }
    CHECK_FALSE(parse_retry_after(std::string(100000, '9')));
}

// Guards against requests to an upstream that has asked for a pause.
TEST_CASE("an upstream that asks for a pause gets nothing until its end",
          "[platform]")
{
    platform_fixture fixture;
    std::string fields = "Retry-After: 500\r\n";
    auto& pausing = fixture.add_upstream(
        [&](received_request const& request)
        {
            return refusal(request, fields);
        });

    SECTION("other upstreams serve the requests")
    {
        auto& other = fixture.add_upstream(respond);
        fixture.start_ready();
        for (int number = 0; number < 20; ++number)
            CHECK(fixture.exchange(safe_read)->result_int() == 200);
        CHECK(pausing.executions() <= 1);
        CHECK(other.executions() == 20);
    }

    SECTION("requests are refused at once if the whole service pauses")
    {
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        auto const response = fixture.exchange(unsafe_order);
        REQUIRE(response);
        CHECK(response->result_int() == 503);
        // Callers return after the pause.
        CHECK(std::stod(std::string((*response)["Retry-After"])) > 400);
        CHECK(pausing.executions() == 1);
    }

    SECTION("the longest of several fields counts")
    {
        fields = "Retry-After: 0\r\nRetry-After: 500\r\nRetry-After: x\r\n";
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        CHECK(pausing.executions() == 1);
    }

    SECTION("a malformed field asks for nothing")
    {
        fields = "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n";
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        platform_fixture::wait_until(
            [&]
            {
                fixture.exchange(unsafe_order);
                return pausing.executions() >= 2;
            });
    }

    SECTION("requests that were queued before it are refused at once")
    {
        std::atomic<bool> is_pausing{false};
        auto& busy = fixture.add_upstream(
            [&](received_request const& request)
            {
                if (is_pausing)
                    return refusal(request, "Retry-After: 500\r\n");
                auto reply = respond(request);
                reply.hold = true;
                return reply;
            });
        fixture.put_entry("i-1", pausing.port(), "draining");
        fixture.start_ready();
        // Six slots are taken by held requests, and two more are queued.
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (unsigned number = 0; number < 8; ++number)
        {
            callers.push_back(std::make_unique<raw_caller>(
                fixture.instance().callers_port()));
            callers.back()->send(platform_request(
                "POST", "/order/" + std::to_string(number), "kit"));
        }
        platform_fixture::wait_until(
            [&]
            {
                return busy.held() == 6;
            });
        is_pausing = true;
        // A caller that leaves frees a slot for the first queued request, which
        // learns of the pause. The second one has not been sent.
        callers.front()->close();
        for (std::size_t index : {6U, 7U})
        {
            auto const response = callers[index]->receive();
            REQUIRE(response);
            CHECK(response->result_int() == 503);
        }
        CHECK(busy.executions() == 7);
        auto const executed = busy.executions();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        CHECK(busy.executions() == executed);
    }

    SECTION("another process of the upstream has not asked for it")
    {
        fixture.start_ready();
        CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
        fixture.put_entry("i-1", pausing.port(), "ready", "shop", 2);
        platform_fixture::wait_until(
            [&]
            {
                fixture.exchange(unsafe_order);
                return pausing.executions() == 2;
            });
    }
}

// Guards against an upstream that is paused longer than it has asked for.
TEST_CASE("an upstream is used again after its pause", "[platform]")
{
    platform_fixture fixture;
    std::atomic<bool> is_first{true};
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            if (is_first.exchange(false))
                return refusal(request, "Retry-After: 0.3\r\n");
            return respond(request);
        });
    fixture.start_ready();
    CHECK(fixture.exchange(unsafe_order)->result_int() == 503);
    platform_fixture::wait_until(
        [&]
        {
            return fixture.exchange(unsafe_order)->result_int() == 200;
        });
    CHECK(upstream.executions() == 2);
}
