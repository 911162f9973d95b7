#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/signing_key.hpp>

#include <openssl/evp.h>

#include <memory>
#include <stdexcept>
#include <utility>

namespace kumquatloom::document
{

namespace
{

using key_pointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using context_pointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

unsigned char const* bytes_of(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

key_pointer load_private(std::string const& bytes)
{
    return {EVP_PKEY_new_raw_private_key(
                EVP_PKEY_ED25519, nullptr, bytes_of(bytes), bytes.size()),
            &EVP_PKEY_free};
}

} // namespace

signing_key::signing_key(std::string bytes)
    : private_bytes_(std::move(bytes))
{
}

signing_key signing_key::generate()
{
    // Any 32 bytes are a valid Ed25519 private key.
    return signing_key(core::random_bytes(ed25519_key_bytes));
}

std::optional<signing_key> signing_key::from_bytes(std::string_view bytes)
{
    if (bytes.size() != ed25519_key_bytes)
        return std::nullopt;
    return signing_key(std::string(bytes));
}

std::string signing_key::public_bytes() const
{
    auto const key = load_private(private_bytes_);
    std::string bytes(ed25519_key_bytes, '\0');
    std::size_t size = bytes.size();
    if (!key ||
        EVP_PKEY_get_raw_public_key(
            key.get(), reinterpret_cast<unsigned char*>(bytes.data()), &size) !=
            1)
        throw std::runtime_error("Ed25519 is not available");
    return bytes;
}

std::string signing_key::sign(std::string_view bytes) const
{
    auto const key = load_private(private_bytes_);
    context_pointer const context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    constexpr std::size_t signature_bytes = 64;
    std::string signature(signature_bytes, '\0');
    std::size_t size = signature.size();
    if (!key || !context ||
        EVP_DigestSignInit(
            context.get(), nullptr, nullptr, nullptr, key.get()) != 1 ||
        EVP_DigestSign(context.get(),
                       reinterpret_cast<unsigned char*>(signature.data()),
                       &size,
                       bytes_of(bytes),
                       bytes.size()) != 1)
        throw std::runtime_error("Ed25519 is not available");
    return signature;
}

bool signature_is_valid(std::string_view public_key,
                        std::string_view signature,
                        std::string_view bytes)
{
    if (public_key.size() != ed25519_key_bytes)
        return false;
    key_pointer const key(
        EVP_PKEY_new_raw_public_key(
            EVP_PKEY_ED25519, nullptr, bytes_of(public_key), public_key.size()),
        &EVP_PKEY_free);
    context_pointer const context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    if (!key || !context)
        return false;
    if (EVP_DigestVerifyInit(
            context.get(), nullptr, nullptr, nullptr, key.get()) != 1)
        return false;
    return EVP_DigestVerify(context.get(),
                            bytes_of(signature),
                            signature.size(),
                            bytes_of(bytes),
                            bytes.size()) == 1;
}

} // namespace kumquatloom::document
