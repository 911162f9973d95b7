#ifndef KUMQUATLOOM_DOCUMENT_SNAPSHOT_ASSEMBLER_HPP
#define KUMQUATLOOM_DOCUMENT_SNAPSHOT_ASSEMBLER_HPP

#include <kumquatloom/document/snapshot_record.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace kumquatloom::document
{

/// A snapshot that is assembled from its parts.
struct assembled_snapshot
{
    /// Header of the last added part, without data.
    snapshot_record header;
    /// Text of the parts so far.
    std::string text;
};

/// Assembles snapshots from their parts in the log. Parts of several writers
/// may be interleaved, and a part may occur twice after a lost response.
class snapshot_assembler
{
public:
    /// Adds the next snapshot record of the log.
    void add(snapshot_record record);

    /// The complete and valid snapshot with the highest offset so far.
    std::optional<assembled_snapshot> const& newest() const
    {
        return newest_;
    }

    /// Discards all snapshots.
    void clear();

    /// Bytes of buffered snapshot text.
    std::size_t buffered_bytes() const;

private:
    /// Maximum number of incomplete snapshots. Beyond it, the oldest is
    /// dropped.
    static constexpr std::size_t max_partial = 4;

    void start_snapshot(snapshot_record record);
    void complete(assembled_snapshot snapshot);

    /// Incomplete snapshots, with the parts 0 to header.part.
    std::deque<assembled_snapshot> partial_;
    /// The newest complete snapshot.
    std::optional<assembled_snapshot> newest_;
};

} // namespace kumquatloom::document

#endif
