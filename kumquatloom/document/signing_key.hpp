#ifndef KUMQUATLOOM_DOCUMENT_SIGNING_KEY_HPP
#define KUMQUATLOOM_DOCUMENT_SIGNING_KEY_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::document
{

/// Size of an Ed25519 public or private key.
inline constexpr std::size_t ed25519_key_bytes = 32;

/// The Ed25519 private key of an owner.
class signing_key
{
public:
    /// Generates a random key.
    static signing_key generate();

    /// Creates a key from private key bytes. Returns std::nullopt if the size
    /// is wrong.
    static std::optional<signing_key> from_bytes(std::string_view bytes);

    /// The bytes of the private key.
    std::string const& private_bytes() const
    {
        return private_bytes_;
    }

    /// The bytes of the public key.
    std::string public_bytes() const;

    /// Signs the bytes.
    std::string sign(std::string_view bytes) const;

private:
    explicit signing_key(std::string bytes);

    /// Bytes of the private key.
    std::string private_bytes_;
};

/// Whether the signature over the bytes is valid for the public key.
bool signature_is_valid(std::string_view public_key,
                        std::string_view signature,
                        std::string_view bytes);

} // namespace kumquatloom::document

#endif
