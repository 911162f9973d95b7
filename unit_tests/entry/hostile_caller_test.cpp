#include <catch2/catch.hpp>

#include <string>
#include <unit_tests/entry/entry_fixture.hpp>

namespace
{

using namespace kumquatloom::unit_tests;

raw_reply respond_completely(received_request const& request)
{
    return {complete_response(request, "done")};
}

/// A POST request header with the mandatory fields and `more`.
std::string head(std::string const& more)
{
    return "POST /buy HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer "
           "secret\r\n" +
           more + "\r\n";
}

} // namespace

// Guards against request smuggling: a second request is hidden in the body of a
// first one whose end two recipients determine differently.
TEST_CASE("a request with ambiguous framing closes the connection", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_completely);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("an unknown transfer coding")
    {
        caller.send(head("Transfer-Encoding: gzip\r\n") +
                    head("Content-Length: 0\r\n"));
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 400);
        CHECK((*response)["Connection"] == "close");
        CHECK(caller.ended());
        CHECK(upstream.executions() == 0);
    }

    SECTION("a folded field line")
    {
        auto const fold = GENERATE(std::string(" "), std::string("\t"));
        caller.send(head("X-Long: one\r\n" + fold + "two\r\n"));
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 400);
        CHECK(caller.ended());
        CHECK(upstream.executions() == 0);
    }

    SECTION("a folded field line that arrives in two segments")
    {
        auto const text = head("X-Long: one\r\n two\r\n");
        auto const cut = text.find("\r\n two") + 2;
        caller.send(text.substr(0, cut));
        caller.send(text.substr(cut));
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 400);
    }

    SECTION("a chunk with oversized extensions")
    {
        caller.send(head("Transfer-Encoding: chunked\r\n") + "3;" +
                    std::string(200 * 1024, 'x') + "\r\nabc\r\n0\r\n\r\n");
        auto const response = caller.receive();
        REQUIRE(response);
        CHECK(response->result_int() == 400);
        CHECK(upstream.executions() == 0);
    }
}

// Guards against header checks that reject valid requests.
TEST_CASE("unusual but valid requests are accepted", "[entry]")
{
    entry_fixture fixture;
    fixture.add_upstream(respond_completely);
    fixture.start();
    raw_caller caller(fixture.instance().callers_port());

    SECTION("a header in small segments")
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

// Guards against memory exhaustion by a caller or an operator.
TEST_CASE("an endless request is cut off", "[entry]")
{
    entry_fixture fixture;
    auto& upstream = fixture.add_upstream(respond_completely);
    fixture.start();
    auto const& instance = fixture.instance();
    auto const port =
        GENERATE(std::string("callers"), std::string("operators"));
    raw_caller caller(port == "callers" ? instance.callers_port()
                                        : instance.operators_port());
    auto const before = head("Transfer-Encoding: chunked\r\n") +
                        GENERATE(std::string(),
                                 std::string("5;"),
                                 std::string("0;"),
                                 std::string("1\r\nx\r\n0\r\nX: "));
    // Nothing of a request without end reaches an upstream.
    std::string const unit(64 * 1024, '0');
    CHECK(caller.send_until_closed(before, unit) < 16U * 1024 * 1024);
    CHECK(upstream.executions() == 0);

    SECTION("in its header")
    {
        raw_caller other(instance.callers_port());
        CHECK(other.send_until_closed("POST /", unit) < 16U * 1024 * 1024);
    }
}
