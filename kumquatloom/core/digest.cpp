#include <kumquatloom/core/digest.hpp>

#include <boost/assert.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stdexcept>
#include <unistd.h>

namespace kumquatloom::core
{

namespace
{

unsigned char const* bytes_of(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

/// Value of one hexadecimal digit, or -1.
int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

sha256_digest sha256(std::string_view bytes)
{
    sha256_digest digest;
    unsigned int size = 0;
    auto const status = EVP_Digest(bytes.data(),
                                   bytes.size(),
                                   digest.data(),
                                   &size,
                                   EVP_sha256(),
                                   nullptr);
    if (status != 1 || size != digest.size())
        throw std::runtime_error("SHA-256 is not available");
    return digest;
}

sha256_digest hmac_sha256(std::string_view key, std::string_view bytes)
{
    sha256_digest digest;
    unsigned int size = 0;
    auto const* const result = HMAC(EVP_sha256(),
                                    key.data(),
                                    static_cast<int>(key.size()),
                                    bytes_of(bytes),
                                    bytes.size(),
                                    digest.data(),
                                    &size);
    if (result == nullptr || size != digest.size())
        throw std::runtime_error("HMAC-SHA-256 is not available");
    return digest;
}

bool constant_time_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view as_bytes(sha256_digest const& digest)
{
    return {reinterpret_cast<char const*>(digest.data()), digest.size()};
}

std::string to_hex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes)
    {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view text)
{
    if (text.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2)
    {
        int const high = hex_value(text[i]);
        int const low = hex_value(text[i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        bytes_of(bytes),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    auto const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes_of(text),
                        static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // OpenSSL decodes padding as zero bytes, which are removed here.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::string random_bytes(std::size_t size)
{
    std::string bytes(size, '\0');
    auto* const target = reinterpret_cast<unsigned char*>(bytes.data());
    if (RAND_bytes(target, static_cast<int>(size)) != 1)
        throw std::runtime_error("no source of random bytes");
    return bytes;
}

std::uint64_t random_u64()
{
    // Reads from the kernel: OpenSSL's generator, which random_bytes() uses
    // for keys, takes 300 KB of memory.
    std::uint64_t number = 0;
    if (::getentropy(&number, sizeof number) != 0)
        throw std::runtime_error("no source of random numbers");
    return number;
}

} // namespace kumquatloom::core
