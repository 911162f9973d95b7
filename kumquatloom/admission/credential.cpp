#include <kumquatloom/admission/credential.hpp>

#include <algorithm>
#include <cstddef>

namespace kumquatloom::admission
{

namespace
{

constexpr std::string_view scheme = "Bearer ";
/// Bounds the cost of hashing an invalid credential.
constexpr std::size_t max_secret_bytes = 1024;

bool is_token_character(char character)
{
    constexpr std::string_view punctuation = "-._~+/=";
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           punctuation.find(character) != punctuation.npos;
}

/// The token of a bearer credential; empty if the credential is malformed.
std::string_view bearer_token(std::string_view authorization)
{
    if (authorization.size() <= scheme.size() ||
        !request::same_name(authorization.substr(0, scheme.size()), scheme))
        return {};
    auto const token = authorization.substr(scheme.size());
    return std::all_of(token.begin(), token.end(), is_token_character)
               ? token
               : std::string_view();
}

} // namespace

std::string_view credential_field(request::wire_dialect const& dialect)
{
    return dialect.credential.empty() ? std::string_view("Authorization")
                                      : dialect.credential;
}

bool is_usable_secret(std::string_view secret)
{
    return !secret.empty() && secret.size() <= max_secret_bytes;
}

core::result<core::sha256_digest, refusal_reason>
presented_credential(std::span<request::header_field const> fields,
                     request::wire_dialect const& dialect)
{
    auto const value = request::find_field(fields, credential_field(dialect));
    if (!value)
        return core::failure(refusal_reason::no_credential);
    auto const secret =
        dialect.credential.empty() ? bearer_token(*value) : *value;
    if (!is_usable_secret(secret))
        return core::failure(refusal_reason::unknown_credential);
    return core::success(core::sha256(secret));
}

} // namespace kumquatloom::admission
