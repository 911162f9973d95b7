#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// Returns what a caller receives for the request if the only upstream runs the
/// script.
received_response response_to(raw_upstream::script script,
                              std::string const& request)
{
    entry_fixture fixture;
    fixture.add_upstream(std::move(script));
    fixture.start();
    auto const response = fixture.exchange(request);
    REQUIRE(response);
    return *response;
}

std::string reason_of(received_response const& response)
{
    return std::string(response["Kumquatloom-Reason"]);
}

std::string outcome_of(received_response const& response)
{
    return std::string(response["Kumquatloom-Outcome"]);
}

constexpr char const* digest_of_whole =
    "Content-Digest: sha-256=:"
    "8UyOZ0FQSmBTZBJbmy+c4rkoKGuT4q3ZlyXGjpEPdtI=:\r\n";

} // namespace

// Guards against a partial response, or one to another request, that reaches a
// caller.
TEST_CASE("a caller receives only complete responses to its own request",
          "[entry]")
{
    auto const post = request_text("POST", "/buy", "one");

    SECTION("a complete response is delivered unchanged")
    {
        auto const response = response_to(
            [](received_request const& request)
            {
                return raw_reply{
                    complete_response(request, "whole", "X-Own: 1\r\n")};
            },
            post);
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "whole");
        CHECK(response["X-Own"] == "1");
        CHECK(outcome_of(response) == "completed");
    }

    SECTION("a truncated body makes the outcome unknown")
    {
        auto const response = response_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{forged_response(std::string(id), 100, "half"),
                                 true};
            },
            post);
        CHECK(response.result_int() == 502);
        CHECK(outcome_of(response) == "unknown");
        CHECK(reason_of(response) == "upstream-failure");
    }

    SECTION("a wrong request id makes the outcome unknown")
    {
        auto const response = response_to(
            [](received_request const&)
            {
                return raw_reply{forged_response("other", 5, "other")};
            },
            post);
        CHECK(outcome_of(response) == "unknown");
        CHECK(reason_of(response) == "wrong-answer");
    }

    SECTION("a body that differs from its digest makes the outcome unknown")
    {
        auto const response = response_to(
            [](received_request const& request)
            {
                return raw_reply{
                    complete_response(request, "wrong", digest_of_whole)};
            },
            post);
        CHECK(outcome_of(response) == "unknown");
        CHECK(reason_of(response) == "wrong-answer");
    }

    SECTION("a body delimited only by the end of the connection is not trusted")
    {
        auto const response = response_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{"HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " +
                                     std::string(id) + "\r\n\r\nperhaps half",
                                 true};
            },
            post);
        CHECK(outcome_of(response) == "unknown");
    }

    SECTION("a truncated chunked body makes the outcome unknown")
    {
        auto const response = response_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{"HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " +
                                     std::string(id) +
                                     "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "4\r\nhalf\r\n",
                                 true};
            },
            post);
        CHECK(outcome_of(response) == "unknown");
    }

    SECTION("a complete chunked body is delivered with a length")
    {
        auto const response = response_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{"HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " +
                                 std::string(id) +
                                 "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "5\r\nwhole\r\n0\r\n\r\n"};
            },
            post);
        CHECK(response.body() == "whole");
        CHECK(response["Content-Length"] == "5");
    }

    SECTION("a response that is not HTTP makes the outcome unknown")
    {
        auto const response = response_to(
            [](received_request const&)
            {
                return raw_reply{"220 mail.example ready\r\n\r\n", true};
            },
            post);
        CHECK(outcome_of(response) == "unknown");
        CHECK(reason_of(response) == "wrong-answer");
    }
}

// Guards against bytes of one exchange that are taken for the response of the
// next exchange on the same connection.
TEST_CASE("a connection with leftover bytes is not reused", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{complete_response(request, "own") +
                             complete_response(request, "extra")};
        });
    fixture.start();
    for (int number = 0; number < 3; ++number)
    {
        auto const response = fixture.exchange(request_text("GET", "/item"));
        REQUIRE(response);
        CHECK(response->body() == "own");
    }
    CHECK(upstream.connections() == 3);
    CHECK(fixture.metric(
              "kumquatloom_events_total{event=\"upstream-leftover\"}") == 3);
}

// Guards against a response that arrives after its deadline and is delivered to
// the next caller.
TEST_CASE("a late response is dropped with its connection", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{complete_response(request, request.body()),
                             false,
                             false,
                             request.body() == "slow"};
        });
    fixture.start();
    auto const late =
        fixture.exchange(request_text("POST", "/short/buy", "slow"));
    REQUIRE(late);
    CHECK(late->result_int() == 504);
    CHECK(outcome_of(*late) == "unknown");
    entry_fixture::wait_until(
        [&]
        {
            return upstream.cancelled() == 1;
        });
    upstream.release();
    auto const next = fixture.exchange(request_text("POST", "/buy", "next"));
    REQUIRE(next);
    CHECK(next->body() == "next");
}

// Guards against a status that ends no exchange, which leaves a caller waiting.
TEST_CASE("a caller receives only final statuses", "[entry]")
{
    auto const post = request_text("POST", "/buy", "one");
    std::string interim_fields;
    std::string status = "102 Processing";
    unsigned interim_responses = 1;
    entry_fixture fixture;
    // With one thread there is one connection pool.
    fixture.settings.threads = 1;
    auto& upstream = fixture.add_upstream(
        [&](received_request const& request)
        {
            std::string bytes;
            for (unsigned i = 0; i < interim_responses; ++i)
                bytes += "HTTP/1.1 " + status + "\r\nKumquatloom-Request-Id: " +
                         std::string(request["Kumquatloom-Request-Id"]) +
                         "\r\n" + interim_fields + "\r\n";
            return raw_reply{bytes + complete_response(request, "whole")};
        });
    fixture.start();

    SECTION("interim responses before the final one are skipped")
    {
        interim_responses = 3;
        for (auto const* const interim : {"100 Continue", "103 Early Hints"})
        {
            status = interim;
            auto const response = fixture.exchange(post);
            REQUIRE(response);
            CHECK(response->result_int() == 200);
            CHECK(response->body() == "whole");
        }
        CHECK(upstream.executions() == 2);
        CHECK(upstream.connections() == 1);
        CHECK(fixture.metric(
                  "kumquatloom_events_total{event=\"upstream-interim\"}") == 6);
    }

    SECTION("one that states a length is skipped, and the connection closed")
    {
        interim_fields = "Content-Length: 0\r\n";
        for (unsigned const count : {1U, 2U})
        {
            auto const response = fixture.exchange(post);
            REQUIRE(response);
            CHECK(response->result_int() == 200);
            CHECK(response->body() == "whole");
            CHECK(upstream.connections() == count);
        }
    }

    SECTION("a switch of protocols that nobody asked for is no answer")
    {
        status = "101 Switching Protocols";
        auto const response = fixture.exchange(post);
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        CHECK(outcome_of(*response) == "unknown");
        CHECK(reason_of(*response) == "wrong-answer");
    }

    SECTION("a status outside of HTTP's range is no answer")
    {
        interim_fields = "Content-Length: 0\r\n";
        for (auto const* const nonexistent : {"000 None", "099 X", "600 X"})
        {
            status = nonexistent;
            auto const response = fixture.exchange(post);
            REQUIRE(response);
            CHECK(response->result_int() == 502);
            CHECK(outcome_of(*response) == "unknown");
            CHECK(reason_of(*response) == "wrong-answer");
        }
        CHECK(fixture.metric(
                  "kumquatloom_answer_checks_total{verdict=\"not-final-"
                  "status\"}") == 3);
    }

    SECTION("an upstream that sends nothing but interim responses is cut off")
    {
        interim_responses = 1000;
        auto const response = fixture.exchange(post);
        REQUIRE(response);
        CHECK(response->result_int() == 502);
        CHECK(reason_of(*response) == "wrong-answer");
    }
}

// Guards against buffered responses that exhaust the memory of the process.
TEST_CASE("the memory of buffered responses is bounded", "[entry]")
{
    entry_fixture fixture;
    fixture.settings.upstreams.answer_limit_bytes = 2000;
    fixture.settings.memory.buffered_answers_bytes = 1500;
    fixture.add_upstream(
        [](received_request const& request)
        {
            auto const size =
                std::stoul(std::string(request.target().substr(1)));
            return raw_reply{
                complete_response(request, std::string(size, 'x'))};
        });
    fixture.start();

    auto const fitting = fixture.exchange(request_text("GET", "/1400"));
    REQUIRE(fitting);
    CHECK(fitting->body().size() == 1400);

    auto const oversize = fixture.exchange(request_text("GET", "/2001"));
    REQUIRE(oversize);
    CHECK(reason_of(*oversize) == "answer-too-large");

    auto const over_budget = fixture.exchange(request_text("GET", "/1600"));
    REQUIRE(over_budget);
    CHECK(reason_of(*over_budget) == "answer-too-large");

    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_buffered_answers_bytes") == 0;
        });
}
