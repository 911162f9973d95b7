#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <unit_tests/entry/endless_response.hpp>
#include <unit_tests/platform/platform_fixture.hpp>
#include <vector>

namespace
{

using namespace kumquatloom::unit_tests;

/// Maximum size of an upstream's response body, and the bytes that the kernel
/// accepts on one connection before they are read.
constexpr std::uint64_t answer_limit_bytes = 4 * 1024 * 1024;
constexpr std::uint64_t kernel_buffers_bytes = 12 * 1024 * 1024;

std::string identifying_fields(std::string_view id)
{
    return "Request-Id: " + std::string(id) +
           "\r\nResponse-Signature: 3e1b.07\r\n";
}

/// The responses that never end, and a sequence of responses to other requests.
std::vector<endless_response> platform_endless_responses(std::string_view id)
{
    auto result = endless_responses(identifying_fields(id));
    result.push_back({"responses to other requests",
                      "",
                      "HTTP/1.1 200 OK\r\n" + identifying_fields("another") +
                          "Content-Length: 4\r\n\r\ndone"});
    return result;
}

} // namespace

// Guards against memory exhaustion by an upstream.
TEST_CASE("an endless response of a platform's upstream is cut off",
          "[platform]")
{
    auto const index =
        GENERATE(range(std::size_t{0}, platform_endless_responses("").size()));
    auto const part = platform_endless_responses("")[index].part;
    platform_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            if (request.target() != "/order/endless")
                return raw_reply{platform_response(request, "done")};
            return to_reply(
                platform_endless_responses(request["Request-Id"])[index]);
        });
    fixture.start_ready();

    DYNAMIC_SECTION(part)
    {
        auto const endless = fixture.exchange(
            platform_request("POST", "/order/endless", "kit", 3000));
        REQUIRE(endless);
        CHECK(endless->result_int() == 502);
        CHECK(upstream.endless_bytes() <
              answer_limit_bytes + kernel_buffers_bytes);

        auto const next =
            fixture.exchange(platform_request("POST", "/order/1", "kit"));
        REQUIRE(next);
        CHECK(next->body() == "done");
    }
}

// Guards against callers that wait because the responses to others never end.
TEST_CASE("other callers are served while responses never end", "[platform]")
{
    constexpr int endless_callers = 8;
    constexpr int other_requests = 10;
    auto const responses = platform_endless_responses("");
    platform_fixture fixture;
    fixture.settings.memory_bytes = std::size_t{160} * 1024 * 1024;
    std::vector<raw_upstream*> upstreams;
    for (int number = 0; number < 3; ++number)
        upstreams.push_back(&fixture.add_upstream(
            [&](received_request const& request)
            {
                if (!request.target().starts_with("/order/endless/"))
                    return raw_reply{platform_response(request, "done")};
                auto const index = std::stoul(std::string(
                    request.target().substr(sizeof("/order/endless"))));
                return to_reply(
                    platform_endless_responses(request["Request-Id"])[index]);
            }));
    fixture.start_ready();
    for (std::size_t index = 0; index < responses.size(); ++index)
    {
        CAPTURE(responses[index].part);
        auto const target = "/order/endless/" + std::to_string(index);
        std::atomic<int> failures{0};
        std::vector<std::thread> callers;
        for (int number = 0; number < endless_callers; ++number)
            callers.emplace_back(
                [&]
                {
                    auto const response = fixture.exchange(
                        platform_request("POST", target, "kit", 3000));
                    failures += response && response->result_int() == 502;
                });
        int served = 0;
        for (int number = 0; number < other_requests; ++number)
        {
            auto const response =
                fixture.exchange(platform_request("POST", "/order/1", "kit"));
            served += response && response->result_int() == 200;
        }
        for (auto& caller : callers)
            caller.join();
        CHECK(served == other_requests);
        CHECK(failures == endless_callers);
    }
    std::uint64_t endless_bytes = 0;
    for (auto const* const upstream : upstreams)
        endless_bytes += upstream->endless_bytes();
    CHECK(endless_bytes < responses.size() * endless_callers *
                              (answer_limit_bytes + kernel_buffers_bytes));
}
