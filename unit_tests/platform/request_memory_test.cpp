#include <catch2/catch.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <unit_tests/platform/platform_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr std::size_t memory_bytes = 16 * mebibyte;
constexpr std::size_t body_bytes = mebibyte - 1;
constexpr unsigned uploads = 30;
constexpr char const* in_flight = "kumquatloom_requests_in_flight";
constexpr char const* buffered = "kumquatloom_buffered_requests_bytes";

std::string chunked_request(std::string const& body)
{
    return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
           "Request-Id: 9c41d07be2a35f68\r\nDeadline-Ms: 20000\r\n"
           "Transfer-Encoding: chunked\r\n\r\nFFFFF\r\n" +
           body + "\r\n0\r\n\r\n";
}

} // namespace

// Guards against request bodies that each keep to the limit and together exceed
// the memory of the process.
TEST_CASE("the bodies of all requests together are bounded", "[platform]")
{
    platform_fixture fixture;
    fixture.settings.memory_bytes = memory_bytes;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{
                platform_response(request, "done"), false, false, true};
        });
    fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{platform_response(request, "done")};
        },
        "other");
    fixture.put_configuration(
        2,
        R"(["order","shop.example","/order/","unsafe",20,5,1,null,2,"shop"],)"
        R"(["other","shop.example","/other/","unsafe",20,5,1,null,2,"other"])");
    fixture.start_ready();
    std::string const body(body_bytes, 'b');
    auto const text = GENERATE(true, false)
                          ? platform_request("POST", "/order/1", body)
                          : chunked_request(body);

    SECTION("requests beyond the limit are refused as not run")
    {
        std::atomic<unsigned> served{0};
        std::atomic<unsigned> refused{0};
        std::atomic<unsigned> others{0};
        std::vector<std::thread> callers;
        for (unsigned number = 0; number < uploads; ++number)
            callers.emplace_back(
                [&]
                {
                    auto const response = fixture.exchange(text);
                    auto const status = response ? response->result_int() : 0;
                    bool const states_delay =
                        response && response->count("Retry-After") == 1;
                    if (status == 200)
                        ++served;
                    else if (status == 503 && states_delay)
                        ++refused;
                    else
                        ++others;
                });
        platform_fixture::wait_until(
            [&]
            {
                return fixture.metric(in_flight) + refused + others == uploads;
            });
        CHECK(fixture.metric(in_flight) * body_bytes < memory_bytes * 3 / 4);
        CHECK(fixture.metric(in_flight) * body_bytes > memory_bytes / 8);
        auto const other =
            fixture.exchange(platform_request("POST", "/other/1", "kit"));
        REQUIRE(other);
        CHECK(other->result_int() == 200);
        upstream.release();
        for (auto& caller : callers)
            caller.join();
        CHECK(others == 0);
        CHECK(served + refused == uploads);
        CHECK(upstream.executions() >= served);
        platform_fixture::wait_until(
            [&]
            {
                return fixture.metric(buffered) == 0;
            });
    }

    SECTION("callers that disconnect make room")
    {
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (unsigned number = 0; number < uploads; ++number)
        {
            callers.push_back(std::make_unique<raw_caller>(
                fixture.instance().callers_port()));
            callers.back()->send(text.substr(0, text.size() - 1));
        }
        callers.clear();
        platform_fixture::wait_until(
            [&]
            {
                return fixture.metric(buffered) == 0;
            });
        CHECK(upstream.executions() == 0);
    }
}

// Guards against the headers of many callers that together exceed the memory of
// the process.
TEST_CASE("the headers of all requests together are bounded", "[platform]")
{
    constexpr std::size_t header_bytes = 12 * 1024;
    constexpr unsigned connections = 300;
    platform_fixture fixture;
    fixture.settings.memory_bytes = 2 * mebibyte;
    fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{platform_response(request, "done")};
        });
    fixture.start_ready();
    auto const partial = "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nX: " +
                         std::string(header_bytes, 'x');
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (unsigned number = 0; number < connections; ++number)
    {
        callers.push_back(
            std::make_unique<raw_caller>(fixture.instance().callers_port()));
        callers.back()->send(partial);
    }
    // Those that were refused get their response at once, the others after the
    // header timeout.
    platform_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_refusals_total{reason="
                                  "\"memory-exhausted\"}") >= 1;
        });
    CHECK(fixture.metric(buffered) < 2 * mebibyte);
    callers.clear();
    platform_fixture::wait_until(
        [&]
        {
            return fixture.metric(buffered) == 0;
        });
    auto const response = fixture.exchange(platform_request("GET", "/read/1"));
    REQUIRE(response);
    CHECK(response->result_int() == 200);
}
