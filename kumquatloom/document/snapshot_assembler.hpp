#ifndef KUMQUATLOOM_DOCUMENT_SNAPSHOT_ASSEMBLER_HPP
#define KUMQUATLOOM_DOCUMENT_SNAPSHOT_ASSEMBLER_HPP

#include <kumquatloom/document/snapshot_record.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace kumquatloom::document
{

/// A snapshot whose parts were all read.
struct assembled_snapshot
{
    /// Its last record, without the data.
    snapshot_record header;
    /// The state's text.
    std::string text;
};

/// Puts the parts of snapshots together. Parts of several writers may be
/// mixed, and a part may occur twice after a lost reply.
class snapshot_assembler
{
public:
    /// Takes the next snapshot record of the log.
    void add(snapshot_record record);

    /// The complete snapshot with the highest offset so far.
    std::optional<assembled_snapshot> const& newest() const
    {
        return newest_;
    }

    /// Forgets everything.
    void clear();

    /// Bytes of text that are held.
    std::size_t held_bytes() const;

private:
    /// Snapshots that are assembled at one time; the oldest one is dropped.
    static constexpr std::size_t max_partial = 4;

    void add_first(snapshot_record record);
    void complete(assembled_snapshot snapshot);

    /// Snapshots of which the part numbers 0 to header.part were read.
    std::deque<assembled_snapshot> partial_;
    /// The newest complete one.
    std::optional<assembled_snapshot> newest_;
};

} // namespace kumquatloom::document

#endif
