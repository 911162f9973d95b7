#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/request/ticket.hpp>

#include <algorithm>
#include <cstring>
#include <vector>

namespace kumquatloom::request
{

namespace
{

/// Domain separation: differs from the first bytes of a peer protocol frame,
/// which is signed with the same keys.
constexpr std::string_view signature_domain = "kumquatloom ticket 1\n";
/// Bounds the memory that the parser allocates for a header field.
constexpr std::size_t max_owner_bytes = 128;
constexpr std::size_t part_count = 6;

template <typename Number>
std::string hex_number(Number number)
{
    std::string bytes;
    for (std::size_t i = sizeof number; i > 0; --i)
        bytes.push_back(static_cast<char>(number >> (8 * (i - 1)) & 0xFFU));
    return core::to_hex(bytes);
}

/// Parses a number of exactly the width that hex_number() writes.
template <typename Number>
bool parse_number(std::string_view text, Number& number)
{
    auto const bytes = core::from_hex(text);
    if (!bytes || bytes->size() != sizeof number)
        return false;
    number = 0;
    for (unsigned char const byte : *bytes)
        number = static_cast<Number>(number << 8U | byte);
    return true;
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (parts.size() <= part_count)
    {
        auto const dot = text.find('.');
        parts.push_back(text.substr(0, dot));
        if (dot == std::string_view::npos)
            break;
        text.remove_prefix(dot + 1);
    }
    return parts;
}

} // namespace

std::uint64_t ticket_organisation(core::organisation_name const& name)
{
    auto const digest = core::sha256(name.value());
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < sizeof hash; ++i)
        hash = hash << 8U | digest[i];
    return hash;
}

std::string signed_bytes(ticket const& item)
{
    std::string text(signature_domain);
    text += core::to_hex(item.owner.value());
    text += '.' + hex_number(item.incarnation);
    text += '.' + hex_number(item.sequence);
    text += '.' + hex_number(item.organisation);
    text += '.' + hex_number(item.key);
    return text;
}

std::string to_text(ticket const& item)
{
    auto text = signed_bytes(item).substr(signature_domain.size());
    text += '.';
    text += core::to_hex(
        {reinterpret_cast<char const*>(item.mac.data()), item.mac.size()});
    return text;
}

std::optional<ticket> parse_ticket(std::string_view text)
{
    auto const parts = split(text);
    if (parts.size() != part_count || parts[0].size() > 2 * max_owner_bytes)
        return std::nullopt;
    ticket item;
    auto const owner = core::from_hex(parts[0]);
    auto const mac = core::from_hex(parts[5]);
    if (!owner || owner->empty() || !mac || mac->size() != item.mac.size() ||
        !parse_number(parts[1], item.incarnation) ||
        !parse_number(parts[2], item.sequence) ||
        !parse_number(parts[3], item.organisation) ||
        !parse_number(parts[4], item.key))
        return std::nullopt;
    item.owner = core::instance_id(*owner);
    std::memcpy(item.mac.data(), mac->data(), mac->size());
    // Reject upper-case hexadecimal digits, so that each ticket has only one
    // text.
    if (to_text(item) != text)
        return std::nullopt;
    return item;
}

} // namespace kumquatloom::request
