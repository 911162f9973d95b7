#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/endless_response.hpp>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// Bytes that the kernel accepts on one connection before they are read.
constexpr std::uint64_t kernel_buffers_bytes = 12 * 1024 * 1024;

std::string identifying_fields(received_request const& request)
{
    return "Kumquatloom-Request-Id: " +
           std::string(request["Kumquatloom-Request-Id"]) + "\r\n";
}

} // namespace

// Guards against memory exhaustion by an upstream whose response never ends.
TEST_CASE("an endless response is cut off at the size limit", "[entry]")
{
    auto const index =
        GENERATE(range(std::size_t{0}, endless_responses("").size()));
    auto const part = endless_responses("")[index].part;
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            if (request.target() != "/endless")
                return raw_reply{complete_response(request, "done")};
            return to_reply(
                endless_responses(identifying_fields(request))[index]);
        });
    fixture.start();

    DYNAMIC_SECTION(part)
    {
        auto const endless = fixture.exchange(request_text(
            "POST", "/endless", "one", "Kumquatloom-Deadline-Ms: 3000\r\n"));
        REQUIRE(endless);
        CHECK(endless->result_int() == 502);
        CHECK((*endless)["Kumquatloom-Outcome"] == "unknown");
        CHECK(upstream.endless_bytes() <
              fixture.settings.upstreams.answer_limit_bytes +
                  kernel_buffers_bytes);

        auto const next = fixture.exchange(request_text("POST", "/", "two"));
        REQUIRE(next);
        CHECK(next->body() == "done");
    }
}
