#ifndef KUMQUATLOOM_CORE_DIGEST_HPP
#define KUMQUATLOOM_CORE_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::core
{

/// A SHA-256 digest.
using sha256_digest = std::array<std::uint8_t, 32>;

/// SHA-256 of the bytes.
sha256_digest sha256(std::string_view bytes);

/// HMAC-SHA-256 of the bytes.
sha256_digest hmac_sha256(std::string_view key, std::string_view bytes);

/// Compares two byte strings in a time that depends on their lengths only.
bool constant_time_equal(std::string_view left, std::string_view right);

/// The bytes of a digest as a view.
std::string_view as_bytes(sha256_digest const& digest);

/// Lower-case hexadecimal text of the bytes.
std::string to_hex(std::string_view bytes);

/// The bytes of hexadecimal text, or nothing if it is malformed.
std::optional<std::string> from_hex(std::string_view text);

/// Base64 text of the bytes, with padding.
std::string to_base64(std::string_view bytes);

/// The bytes of base64 text, or nothing if it is malformed.
std::optional<std::string> from_base64(std::string_view text);

/// Cryptographically strong random bytes.
std::string random_bytes(std::size_t size);

/// A cryptographically strong random 64-bit number.
std::uint64_t random_u64();

} // namespace kumquatloom::core

#endif
