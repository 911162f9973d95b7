#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

std::size_t entries_in(received_response const& response)
{
    return boost::json::parse(response.body()).at("entries").as_array().size();
}

} // namespace

// Guards against a planned shutdown that interrupts a request, or during which
// the instance is still advertised to callers.
TEST_CASE("a draining instance completes the requests in flight", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{complete_response(request, "done"),
                             false,
                             false,
                             request.target() == "/held"};
        });
    fixture.settings.callers.entries_ttl = std::chrono::minutes(10);
    fixture.start();
    fixture.instance().leave_on_signals();
    auto const entries_request = request_text("GET", "/.kumquatloom/entries");
    auto const before = fixture.exchange(entries_request);
    REQUIRE(before);
    CHECK(entries_in(*before) == 1);

    // One caller waits for a response and another one is idle.
    raw_caller waiting(fixture.instance().callers_port());
    waiting.send(request_text("GET", "/held"));
    raw_caller idle(fixture.instance().callers_port());
    REQUIRE(idle.exchange(request_text("GET", "/item")));
    entry_fixture::wait_until(
        [&]
        {
            return upstream.held() == 1;
        });

    CHECK(fixture.exchange_with_operators_port("POST", "/drain").result_int() ==
          202);
    CHECK(fixture.exchange_with_operators_port("GET", "/readyz").result_int() ==
          503);

    // The instance is no longer advertised but still serves requests.
    auto const during = fixture.exchange(entries_request);
    REQUIRE(during);
    CHECK(entries_in(*during) == 0);
    CHECK((*during)["Connection"] == "close");

    // The instance serves until its advertised address has expired at the
    // callers. A second request to leave, here by a signal, ends this wait.
    std::raise(SIGTERM);
    // The idle connection is closed; the request in flight continues.
    CHECK(idle.ended());
    upstream.release();
    auto const response = waiting.receive();
    REQUIRE(response);
    CHECK(response->body() == "done");
    CHECK(waiting.ended());
    fixture.instance().wait();
}
