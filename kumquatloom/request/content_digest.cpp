#include <kumquatloom/request/content_digest.hpp>

#include <algorithm>
#include <cstring>
#include <vector>

namespace kumquatloom::request
{

namespace
{

bool is_key_character(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= '0' && character <= '9') || character == '-' ||
           character == '_' || character == '.' || character == '*';
}

bool is_key(std::string_view text)
{
    return !text.empty() && (text.front() < '0' || text.front() > '9') &&
           std::all_of(text.begin(), text.end(), is_key_character);
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/// Parses a byte sequence: base64 between two colons. Requires that encoding
/// the result gives the same text, which rejects padding in the middle and
/// non-zero trailing bits.
std::optional<std::string> parse_bytes(std::string_view text)
{
    if (text.size() < 2 || text.front() != ':' || text.back() != ':')
        return std::nullopt;
    auto const encoded = text.substr(1, text.size() - 2);
    auto bytes = core::from_base64(encoded);
    if (!bytes || core::to_base64(*bytes) != encoded)
        return std::nullopt;
    return bytes;
}

} // namespace

std::optional<content_digest> parse_content_digest(std::string_view text)
{
    content_digest result;
    std::vector<std::string_view> keys;
    while (true)
    {
        // Base64 contains no comma, so every comma separates two members.
        auto const comma = text.find(',');
        auto const member = trimmed(text.substr(0, comma));
        auto const equals = member.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        auto const key = member.substr(0, equals);
        auto const bytes = parse_bytes(member.substr(equals + 1));
        bool const repeated =
            std::find(keys.begin(), keys.end(), key) != keys.end();
        if (!is_key(key) || !bytes || repeated)
            return std::nullopt;
        keys.push_back(key);
        if (key == "sha-256")
        {
            if (bytes->size() != sizeof(core::sha256_digest))
                return std::nullopt;
            std::memcpy(
                result.sha256.emplace().data(), bytes->data(), bytes->size());
        }
        if (comma == std::string_view::npos)
            return result;
        text.remove_prefix(comma + 1);
    }
}

} // namespace kumquatloom::request
