#ifndef KUMQUATLOOM_DOCUMENT_REDUCED_STATE_HPP
#define KUMQUATLOOM_DOCUMENT_REDUCED_STATE_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/edit_outcome.hpp>
#include <kumquatloom/document/reduced_document.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace kumquatloom::document
{

/// Number of edits whose outcome is stored, and of other records whose id is
/// stored, to detect duplicates. A record is resent within minutes after a lost
/// response; 512 edits cover about an hour at 11,000 edits per day.
inline constexpr std::size_t max_recent_records = 512;

/// The state that results from the records of the log up to an offset, without
/// the ejections.
struct reduced_state
{
    /// Offset of the first record that is not reduced yet.
    core::log_offset next = 0;
    /// Chain digest over all records before `next`.
    core::sha256_digest chain{};
    /// The document.
    reduced_document document;
    /// Outcomes of the last edits, oldest first.
    std::deque<edit_outcome> outcomes;
    /// Ids of the last ejections and readmissions, oldest first.
    std::deque<std::string> recent_ids;
};

/// Extends the chain digest by one record.
core::sha256_digest extend_chain(core::sha256_digest const& chain,
                                 core::log_offset offset,
                                 std::string_view data);

} // namespace kumquatloom::document

#endif
