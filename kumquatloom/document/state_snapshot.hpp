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

/// A state with the bytes of its ejections.
struct state_snapshot
{
    /// The state.
    reduced_state state;
    /// What the ejection ledger serialised.
    std::string ejections;
};

/// Largest part of a snapshot. Escaping can lengthen it fourfold in the
/// record, which stays below max_record_bytes.
inline constexpr std::size_t max_snapshot_part_bytes = 192 * 1024;

/// Largest text of a snapshot that is assembled.
inline constexpr std::size_t max_snapshot_bytes = 256 * 1024 * 1024;

/// Digest of a state. It does not serialise the sections again.
core::sha256_digest digest_of(reduced_state const& state,
                              std::string_view ejections);

/// The state as text: one JSON value on each line, so that a reader holds one
/// section at a time in plain form. Equal states give equal text.
std::string to_text(state_snapshot const& snapshot);

/// Parses and checks a snapshot's text; nothing if it has faults.
std::optional<state_snapshot> parse_snapshot(std::string_view text,
                                             core::fault_list& faults);

/// Parses a snapshot whose records carry this offset, chain and digest;
/// nothing if it has faults or does not fit them.
std::optional<state_snapshot> parse_snapshot(snapshot_record const& header,
                                             std::string_view text);

/// The offset, chain and digest of a snapshot, as its records carry them. A
/// peer sends them with the text in one part.
snapshot_record header_of(state_snapshot const& snapshot);

/// The records that carry a snapshot, which needs at least one record before
/// it in the log.
std::vector<snapshot_record>
split_snapshot(state_snapshot const& snapshot,
               std::string const& id,
               std::size_t part_bytes = max_snapshot_part_bytes);

} // namespace kumquatloom::document

#endif
