#include <kumquatloom/admission/target_check.hpp>

#include <algorithm>
#include <optional>

namespace kumquatloom::admission
{

namespace
{

bool is_alphanumeric(char letter)
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9');
}

bool is_unreserved(char letter)
{
    return is_alphanumeric(letter) || letter == '-' || letter == '.' ||
           letter == '_' || letter == '~';
}

/// The characters of RFC 3986 that a segment may hold as they are, without
/// the semicolon: some upstreams cut a segment there, which would turn
/// `/admin;x` into another route's path.
bool is_segment_character(char letter)
{
    constexpr std::string_view others = "!$&'()*+,=:@";
    return is_unreserved(letter) || others.find(letter) != others.npos;
}

std::optional<unsigned char> hex_digit(char letter)
{
    if (letter >= '0' && letter <= '9')
        return static_cast<unsigned char>(letter - '0');
    if (letter >= 'a' && letter <= 'f')
        return static_cast<unsigned char>(letter - 'a' + 10);
    if (letter >= 'A' && letter <= 'F')
        return static_cast<unsigned char>(letter - 'A' + 10);
    return std::nullopt;
}

/// The byte that an escape stands for.
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

/// Whether an escape can stay: it decodes to the same path for everybody.
bool is_harmless_escape(std::string_view text)
{
    auto const byte = escaped_byte(text);
    if (!byte)
        return false;
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7F;
    if (*byte < first_printable || *byte == delete_character)
        return false;
    // These start no UTF-8 character, only overlong forms of ASCII ones.
    if (*byte == 0xC0 || *byte == 0xC1)
        return false;
    auto const letter = static_cast<char>(*byte);
    if (letter == '/' || letter == '\\' || letter == ';' || letter == '?' ||
        letter == '#' || is_unreserved(letter))
        return false;
    // `%252e` becomes `%2e` at an upstream that decodes twice.
    return letter != '%' || text.size() < 5 || !hex_digit(text[3]) ||
           !hex_digit(text[4]);
}

bool is_plain_segment(std::string_view segment)
{
    if (segment == "." || segment == "..")
        return false;
    while (!segment.empty())
    {
        if (segment.front() == '%')
        {
            if (!is_harmless_escape(segment))
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

bool is_plain_path(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return false;
    while (!path.empty())
    {
        path.remove_prefix(1);
        auto const end = path.find('/');
        auto const segment = path.substr(0, end);
        // Only the last segment may be empty: many upstreams merge slashes.
        if ((segment.empty() && end != path.npos) || !is_plain_segment(segment))
            return false;
        path.remove_prefix(end == path.npos ? path.size() : end);
    }
    return true;
}

/// The query does not select the route, so that it only has to be text
/// without spaces and fragment.
bool is_plain_query(std::string_view query)
{
    return std::all_of(query.begin(),
                       query.end(),
                       [](char letter)
                       {
                           return letter > ' ' && letter < '\x7F' &&
                                  letter != '#';
                       });
}

} // namespace

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool is_plain_target(std::string_view target)
{
    auto const path = path_of(target);
    return is_plain_path(path) && is_plain_query(target.substr(path.size()));
}

} // namespace kumquatloom::admission
