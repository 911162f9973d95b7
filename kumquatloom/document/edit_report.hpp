#ifndef KUMQUATLOOM_DOCUMENT_EDIT_REPORT_HPP
#define KUMQUATLOOM_DOCUMENT_EDIT_REPORT_HPP

#include <kumquatloom/document/edit_outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatloom::document
{

/// What is known about an edit that was sent.
enum class edit_result : std::uint8_t
{
    /// It is part of the document.
    accepted,
    /// It is not and will not be part of the document.
    rejected,
    /// It may become part of the document, or be already.
    unknown
};

/// Name of a result.
std::string_view to_string(edit_result result);

/// The answer to an edit; the body of a response to `POST /document/edits`.
struct edit_report
{
    /// What is known.
    edit_result result = edit_result::unknown;
    /// Id of the record.
    std::string id;
    /// The decision, if the record was reduced.
    std::optional<edit_outcome> outcome;
    /// Why there is no decision, for operators.
    std::string reason;

    friend bool operator==(edit_report const&, edit_report const&) = default;
};

/// The report of a decision.
edit_report report_of(edit_outcome const& outcome);

/// The report as JSON text.
std::string to_text(edit_report const& report);

/// Parses a report; nothing if it is malformed.
std::optional<edit_report> parse_edit_report(std::string_view text);

} // namespace kumquatloom::document

#endif
