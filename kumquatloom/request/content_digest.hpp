#ifndef KUMQUATLOOM_REQUEST_CONTENT_DIGEST_HPP
#define KUMQUATLOOM_REQUEST_CONTENT_DIGEST_HPP

#include <kumquatloom/core/digest.hpp>

#include <optional>
#include <string_view>

namespace kumquatloom::request
{

/// The parsed value of a `Content-Digest` field.
struct content_digest
{
    /// The SHA-256 digest, if the field has one.
    std::optional<core::sha256_digest> sha256;
};

/// Parses the value of a `Content-Digest` field (RFC 9530), a dictionary of
/// byte sequences. Returns nothing if any member is malformed or a key occurs
/// twice.
std::optional<content_digest> parse_content_digest(std::string_view text);

} // namespace kumquatloom::request

#endif
