#include <kumquatloom/admission/target_check.hpp>

#include <algorithm>
#include <optional>

namespace kumquatloom::admission
{

namespace
{

bool is_alphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9');
}

bool is_unreserved(char character)
{
    return is_alphanumeric(character) || character == '-' || character == '.' ||
           character == '_' || character == '~';
}

/// Whether RFC 3986 permits the character unescaped in a segment, except the
/// semicolon: some upstreams truncate a segment there, which would turn
/// `/admin;x` into the path of another route.
bool is_segment_character(char character)
{
    constexpr std::string_view punctuation = "!$&'()*+,=:@";
    return is_unreserved(character) ||
           punctuation.find(character) != punctuation.npos;
}

std::optional<unsigned char> hex_digit(char character)
{
    if (character >= '0' && character <= '9')
        return static_cast<unsigned char>(character - '0');
    if (character >= 'a' && character <= 'f')
        return static_cast<unsigned char>(character - 'a' + 10);
    if (character >= 'A' && character <= 'F')
        return static_cast<unsigned char>(character - 'A' + 10);
    return std::nullopt;
}

/// The byte that the percent escape at the start of the text encodes; nothing
/// if there is no valid escape.
std::optional<unsigned char> escaped_byte(std::string_view text)
{
    if (text.size() < 3 || text[0] != '%')
        return std::nullopt;
    auto const high = hex_digit(text[1]);
    auto const low = hex_digit(text[2]);
    if (!high || !low)
        return std::nullopt;
    return static_cast<unsigned char>(*high << 4U | *low);
}

/// Whether all recipients interpret the percent escape at the start of the text
/// in the same way.
bool is_unambiguous_escape(std::string_view text)
{
    auto const byte = escaped_byte(text);
    if (!byte)
        return false;
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7F;
    if (*byte < first_printable || *byte == delete_character)
        return false;
    // These bytes are invalid in UTF-8; lenient decoders accept them as the
    // start of an overlong encoding of an ASCII character.
    if (*byte == 0xC0 || *byte == 0xC1)
        return false;
    auto const character = static_cast<char>(*byte);
    if (character == '/' || character == '\\' || character == ';' ||
        character == '?' || character == '#' || is_unreserved(character))
        return false;
    // An upstream that decodes twice would read `%252e` as `.`.
    return character != '%' || text.size() < 5 || !hex_digit(text[3]) ||
           !hex_digit(text[4]);
}

bool is_unambiguous_segment(std::string_view segment)
{
    if (segment == "." || segment == "..")
        return false;
    while (!segment.empty())
    {
        if (segment.front() == '%')
        {
            if (!is_unambiguous_escape(segment))
                return false;
            segment.remove_prefix(3);
        }
        else if (is_segment_character(segment.front()))
            segment.remove_prefix(1);
        else
            return false;
    }
    return true;
}

bool is_unambiguous_path(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return false;
    while (!path.empty())
    {
        path.remove_prefix(1);
        auto const end = path.find('/');
        auto const segment = path.substr(0, end);
        // Many upstreams merge slashes, so only the last segment may be empty.
        if ((segment.empty() && end != path.npos) ||
            !is_unambiguous_segment(segment))
            return false;
        path.remove_prefix(end == path.npos ? path.size() : end);
    }
    return true;
}

/// Whether a query has only visible ASCII characters and no fragment. The query
/// does not select the route, so other ambiguities are harmless.
bool is_valid_query(std::string_view query)
{
    return std::all_of(query.begin(),
                       query.end(),
                       [](char character)
                       {
                           return character > ' ' && character < '\x7F' &&
                                  character != '#';
                       });
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool is_unambiguous_target(std::string_view target)
{
    auto const path = path_of(target);
    return is_unambiguous_path(path) &&
           is_valid_query(target.substr(path.size()));
}

} // namespace kumquatloom::admission
