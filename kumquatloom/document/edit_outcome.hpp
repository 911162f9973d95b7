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

/// Decision of the reducer on an edit.
enum class edit_verdict : std::uint8_t
{
    /// The edit is part of the document.
    accepted,
    /// There is no document yet, and the edit does not create one.
    no_document,
    /// The edit creates a document, but there already is one.
    already_created,
    /// The author has no key in the document.
    unknown_author,
    /// The signature was not made with the author's key.
    bad_signature,
    /// The section belongs to another owner.
    not_owner,
    /// The section was changed after the base version of the edit.
    stale_base,
    /// The base version is newer than the document version before the edit was
    /// reduced.
    unknown_base,
    /// The section is malformed.
    invalid_section,
    /// The section is well formed, but the whole document would be invalid.
    invalid_document,
    /// Number of verdicts.
    count
};

/// The name of a verdict, for operators and metric labels.
std::string_view to_string(edit_verdict verdict);

/// The verdict with this name, or std::nullopt.
std::optional<edit_verdict> parse_edit_verdict(std::string_view name);

/// The decision on one edit, stored in the state so that its author can query
/// it.
struct edit_outcome
{
    /// Id of the record.
    std::string id;
    /// Name of the edited section.
    std::string section;
    /// The author that the record names.
    std::string author;
    /// Offset of the record.
    core::log_offset offset = 0;
    /// Document version that the edit was based on.
    core::log_offset base = 0;
    /// Version of the section before the edit was reduced.
    core::log_offset section_version = 0;
    /// The decision.
    edit_verdict verdict = edit_verdict::accepted;
    /// The first fault of an invalid edit, truncated to 256 bytes. It is part
    /// of the state digest, so all instances must produce the same text.
    std::string detail;

    friend bool operator==(edit_outcome const&, edit_outcome const&) = default;
};

/// The outcome as JSON text.
std::string to_text(edit_outcome const& outcome);

/// Reads an outcome; adds faults to the reader's list.
edit_outcome read_edit_outcome(core::json_reader& reader);

} // namespace kumquatloom::document

#endif
