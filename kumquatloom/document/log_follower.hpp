#ifndef KUMQUATLOOM_DOCUMENT_LOG_FOLLOWER_HPP
#define KUMQUATLOOM_DOCUMENT_LOG_FOLLOWER_HPP

#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/log_page.hpp>
#include <kumquatloom/document/snapshot_assembler.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatloom::document
{

/// A read of the log that the follower requests.
struct log_request
{
    /// Offset of the first record.
    core::log_offset from = 0;
    /// Maximum number of records.
    std::size_t max = 0;
    /// Whether the read waits for a first record (long poll).
    bool wait = false;
};

/// Result of handling a page or a push.
enum class follow_event : std::uint8_t
{
    /// Records were reduced.
    advanced,
    /// There were no new records.
    idle,
    /// The delivered records have gaps; nothing was reduced.
    gap,
    /// The log is shorter than the reduced state; nothing was reduced.
    truncated,
    /// The log or a peer has other records at reduced offsets; nothing was
    /// reduced.
    diverged,
    /// The next record is no longer retained; the log is scanned for a
    /// snapshot.
    retention_cut,
    /// The log was scanned to its end and has no usable snapshot.
    no_snapshot,
    /// The state was replaced by a snapshot.
    restored,
    /// Number of events.
    count
};

/// The event with the effects of the reduced records.
struct follow_result
{
    /// Result of handling the page or push.
    follow_event event = follow_event::idle;
    /// Effect of each reduced record, in order.
    std::vector<record_effect> effects;
    /// Offset after the last record of the log, as stated in the page. Present
    /// only if the log agrees with the state; input of the freshness
    /// and of the readiness rule.
    std::optional<core::log_offset> head;
};

/// Settings of the follower.
struct log_follower_settings
{
    /// Maximum number of records per read.
    std::size_t page_size = 100;
};

/// Follows the log: decides which records to read next and reduces them in
/// order, each once. The state never goes back: if the log was truncated or has
/// other records, the follower detects it and leaves the state unchanged.
class log_follower
{
public:
    /// The reducer must outlive the follower.
    explicit log_follower(document_reducer& reducer,
                          log_follower_settings settings = {});

    /// The next read. After an event other than `advanced`, the caller must
    /// delay a read that does not wait.
    log_request next_request() const;

    /// Handles the response to a read.
    follow_result handle_page(log_request const& request, log_page const& page);

    /// Handles a read whose offset is no longer retained. `first` is the offset
    /// of the first retained record.
    follow_result handle_retention_cut(core::log_offset first);

    /// Handles a failed read. The log may have been replaced meanwhile, so the
    /// next read verifies the last reduced record.
    void handle_failed_read();

    /// Handles consecutive records from a peer with the chain digest after the
    /// last one. Reduces all of them or none.
    follow_result handle_push(std::vector<log_entry> const& entries,
                              core::sha256_digest const& chain_after);

    /// Whether the last page of the log disagreed with the state.
    bool disagrees() const
    {
        return disagrees_;
    }

private:
    enum class mode : std::uint8_t
    {
        /// Reads and reduces new records.
        following,
        /// Compares the last reduced record with the log before new records are
        /// reduced.
        verifying,
        /// Reads from the first retained record on to find a snapshot.
        scanning
    };

    follow_result mark_disagreement(follow_event event);
    follow_result reduce(std::vector<log_entry> const& entries);
    follow_result scan(log_request const& request, log_page const& page);
    follow_result finish_scan();
    bool matches_state(std::vector<log_entry> const& entries) const;

    /// Reducer of the records.
    document_reducer& reducer_;
    /// The settings.
    log_follower_settings settings_;
    /// Purpose of the next read.
    mode mode_ = mode::following;
    /// Whether the last page of the log disagreed with the state.
    bool disagrees_ = false;
    /// Next offset to scan.
    core::log_offset scan_from_ = 0;
    /// Offset of the first retained record when the scan started.
    core::log_offset scan_first_ = 0;
    /// Whether the scan has reached the end of the log.
    bool scan_at_end_ = false;
    /// Assembles the snapshots found by the scan.
    snapshot_assembler assembler_;
};

} // namespace kumquatloom::document

#endif
