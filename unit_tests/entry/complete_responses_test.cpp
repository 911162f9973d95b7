#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

/// What the caller gets from an upstream with the script.
received_response answer_to(raw_upstream::script script,
                            std::string const& request)
{
    entry_fixture fixture;
    fixture.add_upstream(std::move(script));
    fixture.start();
    auto const answer = fixture.ask(request);
    REQUIRE(answer);
    return *answer;
}

std::string reason_of(received_response const& answer)
{
    return std::string(answer["Kumquatloom-Reason"]);
}

std::string outcome_of(received_response const& answer)
{
    return std::string(answer["Kumquatloom-Outcome"]);
}

constexpr char const* body_digest_of_whole =
    "Content-Digest: sha-256=:"
    "8UyOZ0FQSmBTZBJbmy+c4rkoKGuT4q3ZlyXGjpEPdtI=:\r\n";

} // namespace

// Guards against a partial answer, or one to another request, that reaches a
// caller.
TEST_CASE("a caller gets only the whole answer to its own request", "[entry]")
{
    auto const post = request_text("POST", "/buy", "one");

    SECTION("a whole answer arrives as it was sent")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                return raw_reply{
                    whole_answer(request, "whole", "X-Own: 1\r\n")};
            },
            post);
        CHECK(answer.result_int() == 200);
        CHECK(answer.body() == "whole");
        CHECK(answer["X-Own"] == "1");
        CHECK(outcome_of(answer) == "completed");
    }

    SECTION("a truncated body becomes an unknown outcome")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{forged_answer(std::string(id), 100, "half"),
                                 true};
            },
            post);
        CHECK(answer.result_int() == 502);
        CHECK(outcome_of(answer) == "unknown");
        CHECK(reason_of(answer) == "upstream-failure");
    }

    SECTION("a foreign request id becomes an unknown outcome")
    {
        auto const answer = answer_to(
            [](received_request const&)
            {
                return raw_reply{forged_answer("other", 5, "other")};
            },
            post);
        CHECK(outcome_of(answer) == "unknown");
        CHECK(reason_of(answer) == "wrong-answer");
    }

    SECTION("a body that differs from its digest becomes an unknown outcome")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                return raw_reply{
                    whole_answer(request, "wrong", body_digest_of_whole)};
            },
            post);
        CHECK(outcome_of(answer) == "unknown");
        CHECK(reason_of(answer) == "wrong-answer");
    }

    SECTION("a body that only the end of the connection ends is not trusted")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{"HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " +
                                     std::string(id) + "\r\n\r\nperhaps half",
                                 true};
            },
            post);
        CHECK(outcome_of(answer) == "unknown");
    }

    SECTION("a truncated chunked body becomes an unknown outcome")
    {
        auto const answer = answer_to(
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
        CHECK(outcome_of(answer) == "unknown");
    }

    SECTION("a whole chunked body arrives with its length")
    {
        auto const answer = answer_to(
            [](received_request const& request)
            {
                auto const id = request["Kumquatloom-Request-Id"];
                return raw_reply{"HTTP/1.1 200 OK\r\nKumquatloom-Request-Id: " +
                                 std::string(id) +
                                 "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "5\r\nwhole\r\n0\r\n\r\n"};
            },
            post);
        CHECK(answer.body() == "whole");
        CHECK(answer["Content-Length"] == "5");
    }

    SECTION("text that is not HTTP becomes an unknown outcome")
    {
        auto const answer = answer_to(
            [](received_request const&)
            {
                return raw_reply{"220 mail.example ready\r\n\r\n", true};
            },
            post);
        CHECK(outcome_of(answer) == "unknown");
        CHECK(reason_of(answer) == "wrong-answer");
    }
}

// Guards against bytes of one exchange that are taken for the answer of the
// next one on the same connection.
TEST_CASE("a connection with leftover bytes is never used again", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{whole_answer(request, "own") +
                             whole_answer(request, "extra")};
        });
    fixture.start();
    for (int number = 0; number < 3; ++number)
    {
        auto const answer = fixture.ask(request_text("GET", "/item"));
        REQUIRE(answer);
        CHECK(answer->body() == "own");
    }
    CHECK(upstream.connections() == 3);
    CHECK(fixture.metric(
              "kumquatloom_events_total{event=\"upstream-leftover\"}") == 3);
}

// Guards against an answer that comes after its deadline and is delivered to
// the next caller.
TEST_CASE("a late answer is dropped with its connection", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(
        [](received_request const& request)
        {
            return raw_reply{whole_answer(request, request.body()),
                             false,
                             false,
                             request.body() == "slow"};
        });
    fixture.start();
    auto const late = fixture.ask(request_text("POST", "/short/buy", "slow"));
    REQUIRE(late);
    CHECK(late->result_int() == 504);
    CHECK(outcome_of(*late) == "unknown");
    entry_fixture::wait_until(
        [&]
        {
            return upstream.cancelled() == 1;
        });
    upstream.release();
    auto const next = fixture.ask(request_text("POST", "/buy", "next"));
    REQUIRE(next);
    CHECK(next->body() == "next");
}

// Guards against answers that together use up the memory of the process.
TEST_CASE("buffered answers are bounded", "[entry]")
{
    entry_fixture fixture;
    fixture.settings.upstreams.answer_limit_bytes = 2000;
    fixture.settings.memory.buffered_answers_bytes = 1500;
    fixture.add_upstream(
        [](received_request const& request)
        {
            auto const size =
                std::stoul(std::string(request.target().substr(1)));
            return raw_reply{whole_answer(request, std::string(size, 'x'))};
        });
    fixture.start();

    auto const fitting = fixture.ask(request_text("GET", "/1400"));
    REQUIRE(fitting);
    CHECK(fitting->body().size() == 1400);

    auto const oversize = fixture.ask(request_text("GET", "/2001"));
    REQUIRE(oversize);
    CHECK(reason_of(*oversize) == "answer-too-large");

    auto const too_many = fixture.ask(request_text("GET", "/1600"));
    REQUIRE(too_many);
    CHECK(reason_of(*too_many) == "answer-too-large");

    entry_fixture::wait_until(
        [&]
        {
            return fixture.metric("kumquatloom_buffered_answers_bytes") == 0;
        });
}
