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

/// A read that the follower asks for.
struct log_request
{
    /// Offset of the first record.
    core::log_offset from = 0;
    /// Most records.
    std::size_t max = 0;
    /// Whether the read may wait for a first record.
    bool wait = false;
};

/// What an answer showed.
enum class follow_event : std::uint8_t
{
    /// Records were reduced.
    advanced,
    /// There is nothing new.
    idle,
    /// Records are missing in what was delivered; nothing was reduced.
    gap,
    /// The log is shorter than what was reduced; nothing was reduced.
    truncated,
    /// The log or a peer holds other records at known offsets; nothing was
    /// reduced.
    diverged,
    /// The next record is no longer retained; a snapshot is looked for.
    retention_cut,
    /// The log was read to its end and holds no usable snapshot.
    no_snapshot,
    /// The state was replaced by a snapshot.
    restored,
    /// Number of events.
    count
};

/// What became of an answer.
struct follow_result
{
    /// What it showed.
    follow_event event = follow_event::idle;
    /// What each reduced record did, in order.
    std::vector<record_effect> effects;
    /// Records before this one existed when the read was sent. Present only
    /// for a log that agrees with the state; it feeds freshness and the start
    /// rule.
    std::optional<core::log_offset> head;
};

/// Settings of the follower.
struct log_follower_settings
{
    /// Most records of one read.
    std::size_t page_size = 100;
};

/// Follows the log: tells what to read next and reduces the answers in order,
/// each record once. It never goes back: a log that lost records or holds
/// other ones is noticed, and the state stays as it is.
class log_follower
{
public:
    /// Feeds the reducer, which must outlive the follower.
    explicit log_follower(document_reducer& reducer,
                          log_follower_settings settings = {});

    /// The next read. After an event other than `advanced`, a read that does
    /// not wait is paced by the caller.
    log_request next_request() const;

    /// The log answered the request.
    follow_result handle_page(log_request const& request, log_page const& page);

    /// The log answered that the offset is no longer retained, and which
    /// record is the first one.
    follow_result handle_retention_cut(core::log_offset first);

    /// A read failed. The log may have been replaced meanwhile, so the next
    /// read starts with the last known record.
    void failed();

    /// A peer delivered consecutive records, with the chain digest after the
    /// last one. All of them are reduced, or none.
    follow_result pushed(std::vector<log_entry> const& entries,
                         core::sha256_digest const& chain_after);

    /// Whether the log's last answer disagreed with the state.
    bool disagrees() const
    {
        return disagrees_;
    }

private:
    enum class mode : std::uint8_t
    {
        /// Reads new records.
        following,
        /// Compares the last reduced record with the log's.
        verifying,
        /// Reads from the first retained record to find a snapshot.
        scanning
    };

    follow_result disagree(follow_event event);
    follow_result reduce(std::vector<log_entry> const& entries);
    follow_result scan(log_request const& request, log_page const& page);
    follow_result finish_scan();
    bool agrees(std::vector<log_entry> const& entries) const;

    /// Reduces the records.
    document_reducer& reducer_;
    /// The settings.
    log_follower_settings settings_;
    /// What the next read is for.
    mode mode_ = mode::following;
    /// Whether the log's last answer disagreed.
    bool disagrees_ = false;
    /// Next offset of a scan.
    core::log_offset scan_from_ = 0;
    /// The first retained record at the start of the scan.
    core::log_offset scan_first_ = 0;
    /// Whether the scan has reached the end of the log.
    bool scan_at_end_ = false;
    /// Snapshots of the scan.
    snapshot_assembler assembler_;
};

} // namespace kumquatloom::document

#endif
