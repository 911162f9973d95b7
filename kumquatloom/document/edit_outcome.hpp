#ifndef KUMQUATLOOM_DOCUMENT_EDIT_OUTCOME_HPP
#define KUMQUATLOOM_DOCUMENT_EDIT_OUTCOME_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::core
{
class json_reader;
} // namespace kumquatloom::core

namespace kumquatloom::document
{

/// What the reduction decided about an edit.
enum class edit_verdict : std::uint8_t
{
    /// The edit is part of the document.
    accepted,
    /// There is no document yet, and the edit does not create one.
    no_document,
    /// The edit creates a document, but there is one.
    already_created,
    /// The author has no key in the document.
    unknown_author,
    /// The signature was not made with the author's key.
    bad_signature,
    /// The section belongs to another owner.
    not_owner,
    /// The section was changed after the version that the edit was made from.
    stale_base,
    /// The document had no such version when the edit was reduced.
    unknown_base,
    /// The section is malformed.
    invalid_section,
    /// The section is well formed, but the whole document is invalid with it.
    invalid_document,
    /// Number of verdicts.
    count
};

/// Name of a verdict for operators and metric labels.
std::string_view to_string(edit_verdict verdict);

/// The verdict of that name.
std::optional<edit_verdict> parse_edit_verdict(std::string_view name);

/// The decision about one edit, kept for its author.
struct edit_outcome
{
    /// Id of the record.
    std::string id;
    /// The section.
    std::string section;
    /// The author that the record names.
    std::string author;
    /// Offset of the record.
    core::log_offset offset = 0;
    /// The version that the edit was made from.
    core::log_offset base = 0;
    /// The version of the section when the edit was reduced.
    core::log_offset section_version = 0;
    /// The decision.
    edit_verdict verdict = edit_verdict::accepted;
    /// The first fault of an invalid edit, cut to 256 bytes.
    std::string detail;

    friend bool operator==(edit_outcome const&, edit_outcome const&) = default;
};

/// The outcome as JSON text.
std::string to_text(edit_outcome const& outcome);

/// Reads an outcome; faults go to the reader's list.
edit_outcome read_edit_outcome(core::json_reader& reader);

} // namespace kumquatloom::document

#endif
