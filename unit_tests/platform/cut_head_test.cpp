#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// The head of a successful response, without the empty line that ends it.
std::string incomplete_head(std::string_view id, std::string const& framing)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) +
           "\r\nResponse-Signature: 3e1b.07\r\n" + framing + "\r";
}

} // namespace

// Guards against a success with an empty or short body.
TEST_CASE("a head that is cut anywhere yields no success", "[platform]")
{
    auto const framing = GENERATE(std::string(),
                                  std::string("Content-Length: 104\r\n"),
                                  std::string("Transfer-Encoding: chunked\r\n"),
                                  std::string("Connection: close\r\n"));
    auto const reset = GENERATE(false, true);
    platform_fixture fixture;
    std::size_t size = 0;
    fixture.add_upstream(
        [&](received_request const& request)
        {
            raw_reply reply;
            reply.bytes =
                incomplete_head(request["Request-Id"], framing).substr(0, size);
            reply.close = !reset;
            reply.reset = reset;
            return reply;
        });
    fixture.start_ready();
    auto const whole = incomplete_head("9c41d07be2a35f68", framing).size();
    for (size = 0; size <= whole; ++size)
    {
        CAPTURE(framing, reset, size);
        auto const response =
            fixture.exchange(platform_request("POST", "/order/1", "kit"));
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        CHECK((*response)["Response-Signature"].empty());
    }
}
