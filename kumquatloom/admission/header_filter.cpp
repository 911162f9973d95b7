#include <kumquatloom/admission/credential.hpp>
#include <kumquatloom/admission/header_filter.hpp>
#include <kumquatloom/core/mutation.hpp>
#include <kumquatloom/request/header_names.hpp>

#include <algorithm>
#include <array>

namespace kumquatloom::admission
{

namespace
{

using request::header_field;
using request::same_name;
namespace names = request::header_names;

constexpr std::array<std::string_view, 4> permitted_names = {
    names::deadline_ms, names::ticket, names::idempotent, names::priority};

/// Hop-by-hop fields of RFC 9110 and its predecessors.
constexpr std::array<std::string_view, 11> hop_by_hop_names = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "HTTP2-Settings",
    // The instance itself sends 100 (Continue).
    "Expect"};

constexpr std::array<std::string_view, 4> essential_names = {
    "Host", "Content-Length", "Content-Type", "Authorization"};

template <typename Names>
bool contains(Names const& list, std::string_view name)
{
    return std::any_of(list.begin(),
                       list.end(),
                       [name](std::string_view item)
                       {
                           return same_name(item, name);
                       });
}

/// Whether an upstream that turns header fields into environment variables
/// could take one name for the other: letters are equal regardless of case, and
/// so are all separators.
bool similar_name(std::string_view left, std::string_view right)
{
    auto const folded = [](char character)
    {
        bool const is_upper = character >= 'A' && character <= 'Z';
        bool const is_lower = character >= 'a' && character <= 'z';
        bool const is_digit = character >= '0' && character <= '9';
        if (is_upper)
            return static_cast<char>(character - 'A' + 'a');
        return is_lower || is_digit ? character : '_';
    };
    return std::equal(left.begin(),
                      left.end(),
                      right.begin(),
                      right.end(),
                      [&](char first, char second)
                      {
                          return folded(first) == folded(second);
                      });
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

/// The end-to-end fields that `keep` accepts.
template <typename Predicate>
std::vector<header_field> filtered(std::span<header_field const> fields,
                                   Predicate const& keep)
{
    auto const options = connection_options(fields);
    std::vector<header_field> result;
    result.reserve(fields.size());
    for (auto const& field : fields)
        if (!contains(hop_by_hop_names, field.name) &&
            !contains(options, field.name) && keep(field.name))
            result.push_back(field);
    return result;
}

} // namespace

std::span<std::string_view const> permitted_reserved_names()
{
    return permitted_names;
}

std::vector<std::string_view>
connection_options(std::span<header_field const> fields)
{
    std::vector<std::string_view> options;
    for (auto const& field : fields)
    {
        if (!same_name(field.name, "Connection"))
            continue;
        auto rest = field.value;
        while (!rest.empty())
        {
            auto const comma = rest.find(',');
            auto const option = trimmed(rest.substr(0, comma));
            // RFC 9110 permits empty list elements, which are ignored.
            if (!option.empty())
                options.push_back(option);
            rest.remove_prefix(comma == rest.npos ? rest.size() : comma + 1);
        }
    }
    return options;
}

bool is_essential_field(std::string_view name)
{
    return contains(essential_names, name) || is_reserved_name(name);
}

bool is_reserved_name(std::string_view name)
{
    constexpr std::string_view prefix = "kumquatloom";
    if (name.size() <= prefix.size())
        return false;
    char const separator = name[prefix.size()];
    bool const alphanumeric = (separator >= 'a' && separator <= 'z') ||
                              (separator >= 'A' && separator <= 'Z') ||
                              (separator >= '0' && separator <= '9');
    return !alphanumeric && same_name(name.substr(0, prefix.size()), prefix);
}

std::vector<header_field>
fields_for_upstream(std::span<header_field const> fields,
                    request::wire_dialect const& dialect,
                    document::access_rule access)
{
    bool const authenticates = !core::is_mutated(core::mutation::forward_key) &&
                               !dialect.organisation.empty() &&
                               access == document::access_rule::by_credential;
    return filtered(fields,
                    [&](std::string_view name)
                    {
                        bool const identifies_caller =
                            authenticates &&
                            (similar_name(name, credential_field(dialect)) ||
                             similar_name(name, dialect.organisation));
                        return !is_reserved_name(name) && !identifies_caller &&
                               !same_name(name, dialect.deadline) &&
                               !same_name(name, dialect.request_id) &&
                               !same_name(name, dialect.expected_upstream);
                    });
}

std::vector<header_field> fields_for_owner(std::span<header_field const> fields)
{
    return filtered(fields,
                    [](std::string_view name)
                    {
                        return !is_reserved_name(name) ||
                               contains(permitted_names, name);
                    });
}

std::vector<header_field>
fields_for_caller(std::span<header_field const> fields)
{
    return filtered(fields,
                    [](std::string_view name)
                    {
                        return !is_reserved_name(name);
                    });
}

} // namespace kumquatloom::admission
