#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

raw_reply whole(received_request const& request)
{
    return {whole_answer(request, "done")};
}

/// A request line and the fields that every request needs.
std::string head(std::string const& more)
{
    return "POST /buy HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer "
           "secret\r\n" +
           more + "\r\n";
}

} // namespace

// Guards against a second request that is smuggled in the body of a first one
// which two recipients read in different ways.
TEST_CASE("a request without a certain end closes the connection", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(whole);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("an unknown transfer coding")
    {
        caller.send(head("Transfer-Encoding: gzip\r\n") +
                    head("Content-Length: 0\r\n"));
        auto const answer = caller.receive();
        REQUIRE(answer);
        CHECK(answer->result_int() == 400);
        CHECK((*answer)["Connection"] == "close");
        CHECK(caller.ended());
        CHECK(upstream.executions() == 0);
    }

    SECTION("a field that goes on in the next line")
    {
        auto const fold = GENERATE(std::string(" "), std::string("\t"));
        caller.send(head("X-Long: one\r\n" + fold + "two\r\n"));
        auto const answer = caller.receive();
        REQUIRE(answer);
        CHECK(answer->result_int() == 400);
        CHECK(caller.ended());
        CHECK(upstream.executions() == 0);
    }

    SECTION("a fold that arrives in two parts")
    {
        auto const text = head("X-Long: one\r\n two\r\n");
        auto const cut = text.find("\r\n two") + 2;
        caller.send(text.substr(0, cut));
        caller.send(text.substr(cut));
        auto const answer = caller.receive();
        REQUIRE(answer);
        CHECK(answer->result_int() == 400);
    }

    SECTION("a chunk with endless extensions")
    {
        caller.send(head("Transfer-Encoding: chunked\r\n") + "3;" +
                    std::string(200 * 1024, 'x') + "\r\nabc\r\n0\r\n\r\n");
        auto const answer = caller.receive();
        REQUIRE(answer);
        CHECK(answer->result_int() == 400);
        CHECK(upstream.executions() == 0);
    }
}

// Guards against a check that refuses what callers may send.
TEST_CASE("what callers may send is read as before", "[entry]")
{
    entry_fixture fixture;
    fixture.add_upstream(whole);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("a header in small parts")
    {
        auto const text = head("Content-Length: 3\r\n") + "abc";
        for (std::size_t at = 0; at < text.size(); at += 7)
            caller.send(text.substr(at, 7));
        CHECK(caller.receive()->result_int() == 200);
    }

    SECTION("short chunk extensions and two requests on one connection")
    {
        for (int i = 0; i < 2; ++i)
        {
            caller.send(head("Transfer-Encoding: chunked\r\n") +
                        "3;name=value\r\nabc\r\n0\r\n\r\n");
            CHECK(caller.receive()->result_int() == 200);
        }
    }

    SECTION("a body that begins with a space")
    {
        caller.send(head("Content-Length: 6\r\n") + "\r\n abc");
        CHECK(caller.receive()->result_int() == 200);
    }
}
