#include <kumquatloom/core/json_reader.hpp>
#include <kumquatloom/document/edit_outcome.hpp>

#include <boost/assert.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <limits>

namespace kumquatloom::document
{

namespace
{

constexpr std::uint64_t max_number = std::numeric_limits<std::int64_t>::max();
/// Maximum size of a detail that is parsed. The reducer writes at most 256
/// bytes.
constexpr std::size_t max_parsed_detail_bytes = 1024;

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

std::string to_text(edit_outcome const& outcome)
{
    return boost::json::serialize(
        boost::json::object{{"id", outcome.id},
                            {"section", outcome.section},
                            {"author", outcome.author},
                            {"offset", outcome.offset},
                            {"base", outcome.base},
                            {"section_version", outcome.section_version},
                            {"verdict", to_string(outcome.verdict)},
                            {"detail", outcome.detail}});
}

edit_outcome read_edit_outcome(core::json_reader& reader)
{
    edit_outcome outcome;
    outcome.id = reader.text("id");
    outcome.section = reader.text("section");
    outcome.author = reader.text("author");
    outcome.offset = reader.number("offset", 0, max_number);
    outcome.base = reader.number("base", 0, max_number);
    outcome.section_version = reader.number("section_version", 0, max_number);
    auto const name = reader.text("verdict");
    auto const verdict = parse_edit_verdict(name);
    if (!verdict)
        reader.report("verdict", '"' + name + '"', "the name of a verdict");
    outcome.verdict = verdict.value_or(edit_verdict::accepted);
    outcome.detail = reader.text("detail", 0, max_parsed_detail_bytes);
    return outcome;
}

} // namespace kumquatloom::document
