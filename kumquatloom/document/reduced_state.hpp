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

/// Edits whose outcome is kept, and other records whose id is kept. A resend
/// after a lost reply follows within minutes; 512 edits are about an hour at
/// 11,000 edits a day.
inline constexpr std::size_t max_recent_records = 512;

/// What the log's records up to an offset reduce to, but for the ejections.
struct reduced_state
{
    /// Offset of the first record that is not reduced yet.
    core::log_offset next = 0;
    /// Digest over all records before `next`.
    core::sha256_digest chain{};
    /// The document.
    reduced_document document;
    /// Outcomes of the latest edits, oldest first.
    std::deque<edit_outcome> outcomes;
    /// Ids of the latest ejections and readmissions, oldest first.
    std::deque<std::string> recent_ids;
};

/// The chain digest after one more record.
core::sha256_digest extend_chain(core::sha256_digest const& chain,
                                 core::log_offset offset,
                                 std::string_view data);

} // namespace kumquatloom::document

#endif
