#ifndef KUMQUATLOOM_DOCUMENT_EDIT_REPORT_HPP
#define KUMQUATLOOM_DOCUMENT_EDIT_REPORT_HPP

#include <kumquatloom/document/edit_outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::document
{

/// Result of a submitted edit, as far as it is known.
enum class edit_result : std::uint8_t
{
    /// The edit is part of the document.
    accepted,
    /// The edit is not and will not become part of the document.
    rejected,
    /// The edit may be part of the document or may still become part of it.
    unknown
};

/// The name of a result.
std::string_view to_string(edit_result result);

/// Body of the response to `POST /document/edits`.
struct edit_report
{
    /// Result of the edit.
    edit_result result = edit_result::unknown;
    /// Id of the record.
    std::string id;
    /// Decision on the edit, if the record was reduced.
    std::optional<edit_outcome> outcome;
    /// Reason for a missing decision, for operators.
    std::string reason;

    friend bool operator==(edit_report const&, edit_report const&) = default;
};

/// Returns the report on an edit that was reduced.
edit_report report_of(edit_outcome const& outcome);

/// The report as JSON text.
std::string to_text(edit_report const& report);

/// Parses a report. Returns std::nullopt if it is malformed.
std::optional<edit_report> parse_edit_report(std::string_view text);

} // namespace kumquatloom::document

#endif
