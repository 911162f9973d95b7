#include <kumquatloom/admission/header_check.hpp>
#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/core/digest.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::admission;
using namespace std::string_view_literals;
using fields = std::vector<header_field>;

/// Checks a request with the fields after a valid Host field. The parser's
/// view of the body follows the first framing fields, as a parser's would.
std::optional<refusal_reason> check(fields more,
                                    std::string_view target = "/a",
                                    std::string_view method = "POST")
{
    more.insert(more.begin(), {"Host", "shop.example"});
    request_header_view facts;
    facts.method = method;
    facts.target = target;
    facts.fields = more;
    facts.transfer_coding =
        request::count_fields(more, "Transfer-Encoding") > 0;
    if (auto const length = request::find_field(more, "Content-Length"))
        facts.content_length = std::strtoull(length->data(), nullptr, 10);
    return header_check({}).check(facts);
}

/// The text after one round of decoding escapes, as a tolerant upstream does.
std::string decoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto const byte = text[i] == '%' ? core::from_hex(text.substr(i + 1, 2))
                                         : std::nullopt;
        if (byte && byte->size() == 1)
        {
            result += *byte;
            i += 2;
        }
        else
            result.push_back(text[i]);
    }
    return result;
}

bool contains(fields const& list, std::string_view name)
{
    return request::count_fields(list, name) > 0;
}

} // namespace

// Guards against requests that an upstream reads differently from us.
TEST_CASE("a caller sends a request header", "[admission]")
{
    SECTION("ordinary requests pass")
    {
        CHECK_FALSE(check({}));
        CHECK_FALSE(check({{"Content-Length", "3"}}));
        CHECK_FALSE(check({{"Transfer-Encoding", "Chunked"}}));
        CHECK_FALSE(check({{"Connection", "keep-alive, X-Debug"}}));
        CHECK_FALSE(check({{"Expect", "100-continue"}}));
        CHECK_FALSE(check({{"X-Name", "Z\xC3\xBCrich\tand more"}}));
    }

    SECTION("ambiguous framing is refused")
    {
        std::vector<fields> const corpus = {
            {{"Content-Length", "3"}, {"Content-Length", "3"}},
            {{"Content-Length", "3"}, {"content-length", "4"}},
            {{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}},
            {{"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}},
            {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "x"}},
            {{"Transfer-Encoding", "identity"}},
            {{"Transfer-Encoding", "gzip, chunked"}},
            {{"Transfer-Encoding", "chunked, chunked"}},
            {{"Transfer-Encoding", "\tchunked"}},
            {{"Transfer-Encoding", "chunked;x=1"}},
            {{"Transfer-Encoding", ""}},
            {{"Content-Length", "3, 3"}},
            {{"Content-Length", "+3"}},
            {{"Content-Length", "-3"}},
            {{"Content-Length", "0x3"}},
            {{"Content-Length", "3 "}},
            {{"Content-Length", ""}},
            {{"Content-Length", "99999999999999999999999"}},
        };
        for (auto const& item : corpus)
        {
            CAPTURE(item.front().name, item.front().value);
            CHECK(check(item) == refusal_reason::bad_framing);
        }
    }

    SECTION("a length that the parser read differently is refused")
    {
        fields const list = {{"Host", "a"}, {"Content-Length", "3"}};
        request_header_view facts;
        facts.method = "POST";
        facts.target = "/";
        facts.fields = list;
        CHECK(header_check({}).check(facts) == refusal_reason::bad_framing);
        facts.content_length = 4;
        CHECK(header_check({}).check(facts) == refusal_reason::bad_framing);
        facts.content_length = 3;
        CHECK_FALSE(header_check({}).check(facts));
        facts.transfer_coding = true;
        CHECK(header_check({}).check(facts) == refusal_reason::bad_framing);
    }

    SECTION("malformed names and values are refused")
    {
        std::vector<header_field> const corpus = {
            {"", "x"},
            {"X ", "x"},
            {"X:Y", "x"},
            {"Content-Length ", "3"},
            {"Transfer-Encoding\t", "chunked"},
            {"X\xC3\xBC", "x"},
            {"X", "a\rb"},
            {"X", "a\nb"},
            {"X", "a\r\nContent-Length: 3"},
            {"X", "a\0b"sv},
            {"X", "a\x7F"},
        };
        for (auto const& item : corpus)
        {
            CAPTURE(item.name, item.value);
            CHECK(check({item}) == refusal_reason::malformed_request);
        }
        CHECK(check({{"Authorization", "Bearer a"},
                     {"authorization", "Bearer b"}}) ==
              refusal_reason::malformed_request);
    }

    SECTION("targets that could mean another path are refused")
    {
        std::vector<std::string_view> const corpus = {
            "",
            "a",
            "*",
            "http://other.example/a",
            "//other.example/a",
            "/a//b",
            "/./a",
            "/a/..",
            "/a/../b",
            "/a/%2e%2e/b",
            "/a/.%2E/b",
            "/a/%2Fb",
            "/a%2fb",
            "/a%5cb",
            "/a\\..\\b",
            "/a/..;/b",
            "/a;x/b",
            "/a%3bx",
            "/%61dmin",
            "/a%00",
            "/a%0d%0ab",
            "/a%",
            "/a%2",
            "/a%zz",
            "/a%252e%252e",
            "/a/%c0%ae%c0%ae/b",
            "/a b",
            "/a#b",
            "/a\tb",
            "/a?b c",
            "/a?b#c",
            "/a\xC3\xBC",
            "/a\0b"sv,
        };
        for (auto const target : corpus)
        {
            CAPTURE(target);
            CHECK(check({}, target) == refusal_reason::bad_target);
        }
        for (auto const target : {"/",
                                  "/a/",
                                  "/a.b/..c/d..",
                                  "/a?x=/../y&z=%2e",
                                  "/a%20b/%C3%BC",
                                  "/.kumquatloom/entries"})
        {
            CAPTURE(target);
            CHECK_FALSE(check({}, target));
        }
    }

    SECTION("tunnels, echoes and other protocols are refused")
    {
        for (auto const method : {"CONNECT", "TRACE", "get", "GET ", "", "X"})
            CHECK(check({}, "/a", method) ==
                  refusal_reason::method_not_supported);
        CHECK(check({{"Upgrade", "websocket"}}) ==
              refusal_reason::method_not_supported);
        CHECK(check({{"Connection", "close, Upgrade"}}) ==
              refusal_reason::malformed_request);
        CHECK(check({{"Expect", "something"}}) ==
              refusal_reason::malformed_request);
    }

    SECTION("a Connection field cannot remove fields with a meaning")
    {
        for (auto const name : {"Content-Length",
                                "host",
                                "authorization",
                                "kumquatloom-idempotent",
                                "a b"})
        {
            CAPTURE(name);
            CHECK(check({{"Connection", name}}) ==
                  refusal_reason::malformed_request);
        }
    }

    SECTION("the host is named exactly once")
    {
        CHECK(check({{"host", "b"}}) == refusal_reason::bad_host);
        for (auto const host : {"", "a/b", "a@b", "a,b", "a b"})
        {
            fields const list = {{"Host", host}};
            request_header_view facts;
            facts.method = "GET";
            facts.target = "/";
            facts.fields = list;
            CHECK(header_check({}).check(facts) == refusal_reason::bad_host);
            facts.fields = {};
            CHECK(header_check({}).check(facts) == refusal_reason::bad_host);
        }
    }

    SECTION("sizes are bounded")
    {
        std::string const big(20000, 'a');
        CHECK(check({{"X", big}}) == refusal_reason::header_too_large);
        CHECK(check({}, "/" + big) == refusal_reason::header_too_large);
        CHECK(check(fields(200, {"X", "y"})) ==
              refusal_reason::header_too_large);
        CHECK(check({{"Content-Length", "99999999"}}) ==
              refusal_reason::body_too_large);
    }

    SECTION("the system's own headers are not repeated")
    {
        CHECK(
            check({{"Kumquatloom-Ticket", "a"}, {"kumquatloom-ticket", "b"}}) ==
            refusal_reason::bad_request_header);
    }
}

// Guards against a caller that claims an organisation by a header.
TEST_CASE("headers are passed on", "[admission]")
{
    SECTION("fields for one hop and listed ones are removed")
    {
        fields const list = {{"Connection", "close, X-Debug"},
                             {"x-debug", "1"},
                             {"TE", "trailers"},
                             {"Keep-Alive", "5"},
                             {"Proxy-Authorization", "x"},
                             {"Authorization", "Bearer x"},
                             {"Kumquatloom-Ticket", "x"},
                             {"Kumquatloom-Organisation", "x"},
                             {"Accept", "*/*"}};
        auto const upstream = fields_for_upstream(list);
        REQUIRE(upstream.size() == 1);
        CHECK(upstream[0].name == "Accept");
        auto const owner = fields_for_owner(list);
        CHECK(owner.size() == 3);
        CHECK(contains(owner, "Authorization"));
        CHECK(contains(owner, "Kumquatloom-Ticket"));
    }

    rc::prop("no spelling of the organisation's header reaches an upstream",
             []
             {
                 std::string name = "Kumquatloom-Organisation";
                 for (auto& letter : name)
                 {
                     if (letter == '-')
                         letter = *rc::gen::element('-', '_', '.', '~', '\'');
                     else if (*rc::gen::arbitrary<bool>())
                         letter = static_cast<char>(std::toupper(letter));
                 }
                 fields const list = {{name, "other"}, {"Accept", "*/*"}};
                 RC_ASSERT(fields_for_upstream(list).size() == 1U);
                 RC_ASSERT(fields_for_owner(list).size() == 1U);
                 RC_ASSERT(fields_for_caller(list).size() == 1U);
             });

    rc::prop(
        "an accepted target has the same segments however often it is decoded",
        []
        {
            // Pieces from which traversals are made; most texts of them are
            // refused, so that valid ones are weighted up.
            auto const piece = rc::gen::weightedOneOf<std::string>(
                {{6, rc::gen::element<std::string>("/a", "/bc", "x", "%20")},
                 {1,
                  rc::gen::element<std::string>("/",
                                                ".",
                                                "..",
                                                "%2e",
                                                "%2F",
                                                "%5c",
                                                "\\",
                                                "%25",
                                                "2e",
                                                ";",
                                                "%3B",
                                                "%61",
                                                "%",
                                                "25")}});
            std::string target = "/a";
            for (auto const& part :
                 *rc::gen::container<std::vector<std::string>>(piece))
                target += part;
            bool const accepted = !check({}, target);
            RC_CLASSIFY(accepted, "accepted");
            if (!accepted)
                return;
            auto const slashes = std::count(target.begin(), target.end(), '/');
            auto text = target;
            for (int round = 0; round < 3; ++round)
            {
                RC_ASSERT(std::count(text.begin(), text.end(), '/') == slashes);
                RC_ASSERT(text.find_first_of("\\;") == std::string::npos);
                RC_ASSERT(text.find("//") == std::string::npos);
                RC_ASSERT((text + "/").find("/./") == std::string::npos);
                RC_ASSERT((text + "/").find("/../") == std::string::npos);
                text = decoded(text);
            }
        });

    rc::prop("a hidden second length is always refused",
             []
             {
                 auto const first = *rc::gen::inRange(0, 100);
                 auto const second = *rc::gen::inRange(0, 100);
                 auto const one = std::to_string(first);
                 auto const two = std::to_string(second);
                 fields list(*rc::gen::inRange(0, 5), {"X", "y"});
                 list.insert(list.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                                                0, list.size() + 1),
                             {"Content-Length", one});
                 list.insert(list.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                                                0, list.size() + 1),
                             {"CONTENT-length", two});
                 RC_ASSERT(check(list) == refusal_reason::bad_framing);
             });
}
