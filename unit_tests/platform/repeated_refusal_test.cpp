#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/platform/platform_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

std::string refusal(received_request const& request)
{
    return platform_response(
        request, "", "Not-Executed: 1\r\n", "503 Service Unavailable");
}

std::string order(std::string const& id)
{
    auto text = platform_request("POST", "/order/1", "kit");
    std::string const usual_id = "9c41d07be2a35f68";
    return text.replace(text.find(usual_id), usual_id.size(), id);
}

} // namespace

// Guards against a request that runs after its caller was told that it did not.
TEST_CASE("a refusal that is written twice refutes no later request",
          "[platform]")
{
    platform_fixture fixture;
    std::string earlier_refusal;
    raw_upstream* self = nullptr;
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            if (earlier_refusal.empty())
            {
                earlier_refusal = refusal(request);
                return raw_reply{earlier_refusal};
            }
            auto const response = platform_response(request, "done");
            bool const is_kept = self->connections() == 1;
            return raw_reply{is_kept ? earlier_refusal + response : response};
        });
    self = &upstream;
    fixture.start_ready();
    auto const first = fixture.exchange(order("a"));
    REQUIRE(first);
    CHECK(first->result_int() == 503);
    REQUIRE(upstream.connections() == 1);

    SECTION("the next request has another id")
    {
        auto const next = fixture.exchange(order("b"));
        REQUIRE(next);
        CHECK(upstream.executions() == 2);
        CHECK(next->result_int() == 200);
        CHECK(next->body() == "done");
    }

    SECTION("the caller sends the request again with the same id")
    {
        auto const again = fixture.exchange(order("a"));
        REQUIRE(again);
        CHECK(upstream.executions() == 2);
        CHECK(again->result_int() == 200);
        CHECK(again->body() == "done");
    }
}

// Guards against a handshake for each refusal of an overloaded upstream.
TEST_CASE("a connection is kept after a refusal", "[platform]")
{
    platform_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{refusal(request)};
        });
    fixture.start_ready();
    for (int number = 0; number < 8; ++number)
    {
        auto const response =
            fixture.exchange(order("id-" + std::to_string(number)));
        REQUIRE(response);
        CHECK(response->result_int() == 503);
    }
    CHECK(upstream.connections() == 1);
}
