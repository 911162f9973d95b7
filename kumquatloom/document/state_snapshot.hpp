#ifndef KUMQUATLOOM_DOCUMENT_STATE_SNAPSHOT_HPP
#define KUMQUATLOOM_DOCUMENT_STATE_SNAPSHOT_HPP

#include <kumquatloom/core/fault.hpp>
#include <kumquatloom/document/reduced_state.hpp>
#include <kumquatloom/document/snapshot_record.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::document
{

/// A reduced state with the serialised ejections.
struct state_snapshot
{
    /// The reduced state.
    reduced_state state;
    /// The serialised ejection ledger.
    std::string ejections;
};

/// Maximum size of a part of a snapshot. Escaping can lengthen it fourfold in
/// the record, which stays below max_record_bytes.
inline constexpr std::size_t max_snapshot_part_bytes = 192 * 1024;

/// Maximum size of an assembled snapshot text.
inline constexpr std::size_t max_snapshot_bytes = 256 * 1024 * 1024;

/// Digest of a state. Uses the stored digests of the sections instead of
/// serialising them again.
core::sha256_digest digest_of(reduced_state const& state,
                              std::string_view ejections);

/// Serialises a state as one JSON object per line, so that a reader needs only
/// one section at a time in plain form. Equal states give equal text.
std::string to_text(state_snapshot const& snapshot);

/// Parses and validates the text of a snapshot. Returns std::nullopt and adds
/// the faults if it has any.
std::optional<state_snapshot> parse_snapshot(std::string_view text,
                                             core::fault_list& faults);

/// Parses the text of a snapshot with the offset, chain digest and state digest
/// of `header`. Returns std::nullopt if it has faults or does not match them.
std::optional<state_snapshot> parse_snapshot(snapshot_record const& header,
                                             std::string_view text);

/// Returns the header of a snapshot's records: its offset, chain digest and
/// state digest.
snapshot_record header_of(state_snapshot const& snapshot);

/// Splits a snapshot into log records. The state must contain at least one
/// record.
std::vector<snapshot_record>
split_snapshot(state_snapshot const& snapshot,
               std::string const& id,
               std::size_t part_bytes = max_snapshot_part_bytes);

} // namespace kumquatloom::document

#endif
