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

/// Checks a request with a valid Host field and the given fields. The body
/// framing is taken from the first framing fields, as a parser does.
std::optional<refusal_reason> check(fields extra,
                                    std::string_view target = "/a",
                                    std::string_view method = "POST")
{
    extra.insert(extra.begin(), {"Host", "shop.example"});
    request_header_view header;
    header.method = method;
    header.target = target;
    header.fields = extra;
    header.transfer_coding =
        request::count_fields(extra, "Transfer-Encoding") > 0;
    if (auto const length = request::find_field(extra, "Content-Length"))
        header.content_length = std::strtoull(length->data(), nullptr, 10);
    return header_check({}).check(header);
}

/// Decodes escapes once, leaving invalid ones, as a lenient upstream does.
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

// Guards against requests that an upstream and this instance interpret
// differently, as in request smuggling.
TEST_CASE("request headers are checked", "[admission]")
{
    SECTION("ordinary requests are accepted")
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

    SECTION("a length that differs from the parser's is refused")
    {
        fields const list = {{"Host", "a"}, {"Content-Length", "3"}};
        request_header_view header;
        header.method = "POST";
        header.target = "/";
        header.fields = list;
        CHECK(header_check({}).check(header) == refusal_reason::bad_framing);
        header.content_length = 4;
        CHECK(header_check({}).check(header) == refusal_reason::bad_framing);
        header.content_length = 3;
        CHECK_FALSE(header_check({}).check(header));
        header.transfer_coding = true;
        CHECK(header_check({}).check(header) == refusal_reason::bad_framing);
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

    SECTION("targets that could denote another path are refused")
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

    SECTION("CONNECT, TRACE and protocol upgrades are refused")
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

    SECTION("a Connection field cannot remove essential fields")
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

    SECTION("there must be exactly one valid Host field")
    {
        CHECK(check({{"host", "b"}}) == refusal_reason::bad_host);
        for (auto const host : {"", "a/b", "a@b", "a,b", "a b"})
        {
            fields const list = {{"Host", host}};
            request_header_view header;
            header.method = "GET";
            header.target = "/";
            header.fields = list;
            CHECK(header_check({}).check(header) == refusal_reason::bad_host);
            header.fields = {};
            CHECK(header_check({}).check(header) == refusal_reason::bad_host);
        }
    }

    SECTION("sizes are limited")
    {
        std::string const big(20000, 'a');
        CHECK(check({{"X", big}}) == refusal_reason::header_too_large);
        CHECK(check({}, "/" + big) == refusal_reason::header_too_large);
        CHECK(check(fields(200, {"X", "y"})) ==
              refusal_reason::header_too_large);
        CHECK(check({{"Content-Length", "99999999"}}) ==
              refusal_reason::body_too_large);
    }

    SECTION("repeated reserved headers are refused")
    {
        CHECK(
            check({{"Kumquatloom-Ticket", "a"}, {"kumquatloom-ticket", "b"}}) ==
            refusal_reason::bad_request_header);
    }
}

// Guards against a caller that impersonates an organisation by a header.
TEST_CASE("headers are filtered before forwarding", "[admission]")
{
    SECTION("hop-by-hop fields and those that Connection lists are removed")
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

    rc::prop("no spelling of the organisation header reaches an upstream",
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
            // Parts of path traversals. Most targets made of them are refused,
            // so valid parts have a higher weight.
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

    rc::prop("a second Content-Length is always refused",
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
