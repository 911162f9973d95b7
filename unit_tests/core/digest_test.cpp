#include <kumquatloom/core/digest.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace kumquatloom;

// Guards against digests and encodings that other programs cannot read.
TEST_CASE("digests and encodings follow their standards", "[core]")
{
    SECTION("SHA-256 of the empty text is the published value")
    {
        CHECK(core::to_hex(core::as_bytes(core::sha256(""))) ==
              "e3b0c44298fc1c149afbf4c8996fb924"
              "27ae41e4649b934ca495991b7852b855");
    }

    SECTION("HMAC-SHA-256 matches test case 2 of RFC 4231")
    {
        auto const code =
            core::hmac_sha256("Jefe", "what do ya want for nothing?");
        CHECK(core::to_hex(core::as_bytes(code)) ==
              "5bdcc146bf60754e6a042426089575c7"
              "5a003f089d2739839dec58b964ec3843");
    }

    SECTION("malformed text is rejected")
    {
        CHECK_FALSE(core::from_hex("abc"));
        CHECK_FALSE(core::from_hex("zz"));
        CHECK_FALSE(core::from_base64("abc"));
        CHECK_FALSE(core::from_base64("a?=="));
    }

    rc::prop("hexadecimal and base64 text round-trip",
             [](std::string const& bytes)
             {
                 RC_ASSERT(core::from_hex(core::to_hex(bytes)) == bytes);
                 RC_ASSERT(core::from_base64(core::to_base64(bytes)) == bytes);
             });

    rc::prop("the constant-time comparison is an equality",
             [](std::string const& left, std::string const& right)
             {
                 RC_ASSERT(core::constant_time_equal(left, right) ==
                           (left == right));
                 RC_ASSERT(core::constant_time_equal(left, left));
             });
}
