#ifndef KUMQUATLOOM_DOCUMENT_DOCUMENT_REDUCER_HPP
#define KUMQUATLOOM_DOCUMENT_DOCUMENT_REDUCER_HPP

#include <kumquatloom/document/document_index.hpp>
#include <kumquatloom/document/ejection_reducer.hpp>
#include <kumquatloom/document/log_page.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/document/reduced_state.hpp>
#include <kumquatloom/document/state_snapshot.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatloom::document
{

/// Settings of the reducer. All instances must have the same settings.
struct document_reducer_settings
{
    /// Public key of the owner `platform`, which must sign the record that
    /// creates the document. If absent, the first such record that is signed
    /// with the key it contains is accepted.
    std::optional<std::string> platform_public_key;
};

/// Effect of reducing one record.
enum class record_effect : std::uint8_t
{
    /// The document has a new version.
    edit_accepted,
    /// The edit was rejected; its outcome contains the reason.
    edit_rejected,
    /// The ejection ledger changed.
    ejections_changed,
    /// The ejection ledger rejected the record.
    ejection_rejected,
    /// A record with the same id was reduced before.
    duplicate,
    /// A snapshot that matches this state, or whose offset is too old to be
    /// compared.
    snapshot_accepted,
    /// A snapshot that differs from this state at the same offset.
    snapshot_mismatch,
    /// The text is not a valid record.
    malformed,
    /// Number of effects.
    count
};

/// Reduces the records of the log, in order, to the state of the fleet. The
/// reduction is deterministic: instances that reduce the same records have the
/// same state.
///
/// An edit of the section `*` creates the document. It is signed with the key
/// of the owner `platform` that the new document contains. An edit of another
/// section is accepted if its base version is not older than the section's
/// last change, it is signed by the section's owner or by `platform`, and the
/// whole document is valid with it. Edits of different sections therefore do
/// not conflict. Only `platform` adds and removes sections, changes their
/// owners, and edits `owners` and `fleet`.
class document_reducer
{
public:
    /// Starts before the first record of the log.
    explicit document_reducer(document_reducer_settings settings,
                              ejection_reducer ejections);

    /// Reduces the record at the offset state().next.
    record_effect reduce(log_entry const& entry);

    /// Replaces the state by that of a snapshot with the offset, chain digest
    /// and state digest of `header`. Returns false and changes nothing if the
    /// text has faults, does not match the header or is not newer.
    bool restore(snapshot_record const& header, std::string_view text);

    /// The current state without the ejections.
    reduced_state const& state() const
    {
        return state_;
    }

    /// Offset of the last reduced record, if there is one.
    std::optional<core::log_offset> offset() const;

    /// The current state with the ejections. Copies share the sections.
    state_snapshot snapshot() const;

    /// The outcome of a recent edit, or null.
    edit_outcome const* find_outcome(std::string_view id) const;

    /// The chain digest after the record at the offset, if it is one of the
    /// last max_chain_digests records.
    std::optional<core::sha256_digest> chain_at(core::log_offset offset) const;

    /// Offset of the newest snapshot record that did not match this state.
    std::optional<core::log_offset> divergence() const
    {
        return divergence_offset_;
    }

    /// State offset of the newest snapshot whose parts are all in the log and
    /// which did not mismatch this state.
    std::optional<core::log_offset> newest_snapshot() const
    {
        return newest_snapshot_;
    }

    /// Memory of the document, its index and the chain digests in bytes.
    std::size_t memory_bytes() const;

    /// Number of chain digests in memory, 32 KiB in total.
    static constexpr std::size_t max_chain_digests = 1024;

    /// Interval of the checkpoints, in records. The digest of the state is
    /// stored for each offset that is one less than a multiple of the interval,
    /// so that later snapshot records can be compared.
    static constexpr core::log_offset checkpoint_interval = 64;

private:
    /// Digest of the state after a record.
    struct checkpoint
    {
        /// Offset of the record.
        core::log_offset offset = 0;
        /// The digest.
        core::sha256_digest digest{};
    };

    record_effect apply(edit_record const& record, core::log_offset offset);
    record_effect apply(snapshot_record const& record, core::log_offset offset);
    record_effect apply(eject_record const& record, core::log_offset offset);
    record_effect apply(readmit_record const& record, core::log_offset offset);
    edit_verdict evaluate(edit_record const& record,
                          core::log_offset offset,
                          edit_outcome& outcome);
    edit_verdict create_document(edit_record const& record,
                                 core::log_offset offset,
                                 edit_outcome& outcome);
    edit_verdict change_owners(edit_record const& record,
                               core::log_offset offset,
                               edit_outcome& outcome);
    edit_verdict change_fleet(edit_record const& record,
                              core::log_offset offset,
                              edit_outcome& outcome);
    edit_verdict change_section(edit_record const& record,
                                core::log_offset offset,
                                edit_outcome& outcome);
    edit_verdict remove_section(edit_record const& record,
                                core::log_offset offset,
                                edit_outcome& outcome);
    core::log_offset part_version(std::string const& name) const;
    unsigned ejection_budget_of(core::service_name const& service) const;
    bool is_duplicate(std::string const& id) const;
    void record_id(std::string const& id);
    void record_outcome(edit_outcome outcome);
    void record_chain_digest();
    std::optional<core::sha256_digest> digest_at(core::log_offset offset) const;

    /// The settings.
    document_reducer_settings settings_;
    /// Access to the ejection ledger.
    ejection_reducer ejections_;
    /// The state.
    reduced_state state_;
    /// Index of the names in the document.
    document_index index_;
    /// Chain digests after the last records, the newest last.
    std::deque<core::sha256_digest> chain_digests_;
    /// Stored digests of earlier states, the newest last.
    std::deque<checkpoint> checkpoints_;
    /// Offset of the last record that was not a snapshot.
    std::optional<core::log_offset> last_change_offset_;
    /// State offset of the newest complete snapshot.
    std::optional<core::log_offset> newest_snapshot_;
    /// Offset of the newest snapshot record that did not match.
    std::optional<core::log_offset> divergence_offset_;
};

} // namespace kumquatloom::document

#endif
