#ifndef KUMQUATLOOM_DOCUMENT_SNAPSHOT_RECORD_HPP
#define KUMQUATLOOM_DOCUMENT_SNAPSHOT_RECORD_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>

#include <string>

namespace kumquatloom::document
{

/// Log record with one part of a snapshot of the reduced state.
struct snapshot_record
{
    /// Random id, the same for all parts of one snapshot.
    std::string id;
    /// Offset of the last record that the state contains.
    core::log_offset offset = 0;
    /// Chain digest of the log up to that record.
    core::sha256_digest chain{};
    /// Digest of the state.
    core::sha256_digest digest{};
    /// Number of this part, starting at 0.
    std::uint64_t part = 0;
    /// Number of parts of the snapshot.
    std::uint64_t parts = 1;
    /// Text of this part.
    std::string data;

    friend bool operator==(snapshot_record const&,
                           snapshot_record const&) = default;
};

} // namespace kumquatloom::document

#endif
