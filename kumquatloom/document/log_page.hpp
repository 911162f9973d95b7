#ifndef KUMQUATLOOM_DOCUMENT_LOG_PAGE_HPP
#define KUMQUATLOOM_DOCUMENT_LOG_PAGE_HPP

#include <kumquatloom/core/ids.hpp>

#include <string>
#include <vector>

namespace kumquatloom::document
{

/// One record of the log, as delivered by the log or by a peer.
struct log_entry
{
    /// Position in the log.
    core::log_offset offset = 0;
    /// The record as JSON text.
    std::string data;

    friend bool operator==(log_entry const&, log_entry const&) = default;
};

/// The response to one read of the log.
struct log_page
{
    /// Offset of the first record that the log retains.
    core::log_offset first = 0;
    /// Offset that the next appended record will have.
    core::log_offset next = 0;
    /// Consecutive records from the requested offset on.
    std::vector<log_entry> records;
};

} // namespace kumquatloom::document

#endif
