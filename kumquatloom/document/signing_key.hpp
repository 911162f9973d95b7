#ifndef KUMQUATLOOM_DOCUMENT_SIGNING_KEY_HPP
#define KUMQUATLOOM_DOCUMENT_SIGNING_KEY_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::document
{

/// An Ed25519 public key and an Ed25519 private key have this many bytes.
inline constexpr std::size_t ed25519_key_bytes = 32;

/// The Ed25519 private key of an owner.
class signing_key
{
public:
    /// Makes a new random key.
    static signing_key generate();

    /// The key with these private bytes; nothing if the size is wrong.
    static std::optional<signing_key> from_bytes(std::string_view bytes);

    /// The private bytes.
    std::string const& private_bytes() const
    {
        return private_bytes_;
    }

    /// The public bytes.
    std::string public_bytes() const;

    /// The signature over the bytes.
    std::string sign(std::string_view bytes) const;

private:
    explicit signing_key(std::string bytes);

    /// The private key.
    std::string private_bytes_;
};

/// Whether the signature over the bytes was made with the private key that
/// belongs to the public one.
bool signature_is_valid(std::string_view public_key,
                        std::string_view signature,
                        std::string_view bytes);

} // namespace kumquatloom::document

#endif
