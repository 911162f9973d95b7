#include <kumquatloom/document/edit_outcome.hpp>

#include <boost/assert.hpp>

#include <array>

namespace kumquatloom::document
{

namespace
{

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(edit_verdict::count)>
    names = {"accepted",
             "no_document",
             "already_created",
             "unknown_author",
             "bad_signature",
             "not_owner",
             "stale_base",
             "unknown_base",
             "invalid_section",
             "invalid_document"};

} // namespace

std::string_view to_string(edit_verdict verdict)
{
    BOOST_ASSERT(verdict < edit_verdict::count);
    return names[static_cast<std::size_t>(verdict)];
}

std::optional<edit_verdict> parse_edit_verdict(std::string_view name)
{
    for (std::size_t i = 0; i < names.size(); ++i)
        if (names[i] == name)
            return static_cast<edit_verdict>(i);
    return std::nullopt;
}

} // namespace kumquatloom::document
