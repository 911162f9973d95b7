#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/request/content_digest.hpp>
#include <kumquatloom/request/response_check.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

namespace
{

using namespace kumquatloom;
using namespace kumquatloom::request;
using fields = std::vector<header_field>;

core::request_id const id("r-1");

response_verdict check(fields const& header_fields,
                       std::string_view body = "body",
                       unsigned status = 200,
                       bool is_head_request = false)
{
    return check_response({is_head_request, status, header_fields, body}, id);
}

std::string digest_field(std::string_view body)
{
    return "sha-256=:" + core::to_base64(core::as_bytes(core::sha256(body))) +
           ":";
}

} // namespace

// Guards against passing on the response to another request, or a truncated
// one.
TEST_CASE("an upstream's response is verified", "[request]")
{
    header_field const echoed{"kumquatloom-request-id", "r-1"};
    header_field const length{"Content-Length", "4"};
    auto const digest = digest_field("body");

    SECTION("a complete response passes, with or without a digest")
    {
        CHECK(check({echoed, length}) == response_verdict::verified);
        CHECK(check({echoed, length, {"Content-Digest", digest}}) ==
              response_verdict::verified);
        CHECK(check({echoed, length, {"Content-Digest", "sha-512=:YQ==:"}}) ==
              response_verdict::verified);
        CHECK(check({echoed, {"Content-Length", "99"}}, "", 200, true) ==
              response_verdict::verified);
        CHECK(check({echoed}, "", 204) == response_verdict::verified);
    }

    SECTION("a status that is not a final one is rejected")
    {
        for (unsigned const status :
             {0U, 99U, 100U, 101U, 102U, 199U, 600U, 999U})
            CHECK(check({echoed, length}, "body", status) ==
                  response_verdict::not_final_status);
        CHECK(check({echoed, length}, "body", 299) ==
              response_verdict::verified);
        CHECK(check({echoed, length}, "body", 599) ==
              response_verdict::verified);
    }

    SECTION("a missing, wrong or repeated request id is rejected")
    {
        CHECK(check({length}) == response_verdict::missing_request_id);
        CHECK(check({length, {"Kumquatloom-Request-Id", "r-2"}}) ==
              response_verdict::wrong_request_id);
        CHECK(check({length, echoed, echoed}) ==
              response_verdict::wrong_request_id);
        CHECK(check_response({false, 200, {}, ""}, core::request_id()) ==
              response_verdict::missing_request_id);
    }

    SECTION("a missing or wrong length is rejected")
    {
        CHECK(check({echoed}) == response_verdict::missing_length);
        for (auto const text : {"3", "5", "", "+4", "4 ", "4, 4"})
            CHECK(check({echoed, {"Content-Length", text}}) ==
                  response_verdict::wrong_length);
        CHECK(check({echoed, length, length}) ==
              response_verdict::wrong_length);
        CHECK(check({echoed}, "x", 204) == response_verdict::wrong_length);
    }

    SECTION("a wrong or malformed digest is rejected")
    {
        auto const other = digest_field("other");
        CHECK(check({echoed, length, {"Content-Digest", other}}) ==
              response_verdict::wrong_digest);
        for (std::string const& text : {std::string(),
                                        std::string("sha-256"),
                                        std::string("sha-256=::"),
                                        std::string("sha-256=:YQ==:"),
                                        std::string("sha-256=:YR==:"),
                                        "SHA-256" + digest.substr(7),
                                        digest + ",",
                                        digest + ", " + digest,
                                        digest + ";x",
                                        digest.substr(0, digest.size() - 1),
                                        "sha-256=\"" + digest.substr(9)})
        {
            CAPTURE(text);
            CHECK(check({echoed, length, {"Content-Digest", text}}) ==
                  response_verdict::malformed_digest);
        }
    }

    SECTION("a refusal counts only in a verified response")
    {
        header_field const refusal{"Kumquatloom-Outcome", "not-run"};
        CHECK(check({echoed, length, refusal}, "body", 503) ==
              response_verdict::refused);
        CHECK(check({echoed, length, refusal}, "body", 500) ==
              response_verdict::verified);
        CHECK(check({echoed, length}, "body", 503) ==
              response_verdict::verified);
        CHECK(check({length, refusal}, "body", 503) ==
              response_verdict::missing_request_id);
    }

    rc::prop("a truncated or corrupted response is rejected",
             [&]
             {
                 auto const body = *rc::gen::nonEmpty<std::string>();
                 auto const size = std::to_string(body.size());
                 auto const body_digest = digest_field(body);
                 fields const header_fields = {echoed,
                                               {"Content-Length", size},
                                               {"Content-Digest", body_digest}};
                 RC_ASSERT(check(header_fields, body) ==
                           response_verdict::verified);
                 auto const at = *rc::gen::inRange<std::size_t>(0, body.size());
                 auto changed = body;
                 changed[at] = static_cast<char>(changed[at] ^ 1);
                 RC_ASSERT(check(header_fields, changed) ==
                           response_verdict::wrong_digest);
                 RC_ASSERT(check(header_fields, body.substr(0, at)) ==
                           response_verdict::wrong_length);
             });
}
