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

/// Settings of the reducer. They must be equal on all instances.
struct document_reducer_settings
{
    /// Public key of the owner `platform` that must create the document. If
    /// it is absent, the first record that names and fits its own key wins.
    std::optional<std::string> platform_public_key;
};

/// What reducing one record did.
enum class record_effect : std::uint8_t
{
    /// The document has a new version.
    edit_accepted,
    /// The edit was refused; its outcome tells why.
    edit_rejected,
    /// The ejection ledger changed.
    ejections_changed,
    /// The ejection ledger refused the record.
    ejection_refused,
    /// A record with this id was reduced before.
    duplicate,
    /// A snapshot, which fits this state or cannot be compared any more.
    snapshot_seen,
    /// A snapshot that differs from this state at the same offset.
    snapshot_differs,
    /// Not a record of the fleet.
    malformed,
    /// Number of effects.
    count
};

/// Reduces the log's records, in their order, to the state of the fleet.
/// Every instance that reduces the same records holds the same state.
///
/// The first document comes from an edit of the section `*`, which is signed
/// with the key of the owner `platform` that the document itself names. An
/// edit of another section is accepted if it was made from a version that is
/// not older than the section's last change, is signed by the section's owner
/// or by `platform`, and leaves the whole document valid. Edits of different
/// sections therefore do not conflict. Only `platform` adds and removes
/// sections, changes their owners, and edits `owners` and `fleet`.
class document_reducer
{
public:
    /// Starts before the first record of the log.
    explicit document_reducer(document_reducer_settings settings,
                              ejection_reducer ejections);

    /// Reduces the record at the offset state().next.
    record_effect reduce(log_entry const& entry);

    /// Replaces the state by a later one from a snapshot, whose records carry
    /// this offset, chain and digest. False, and nothing is changed, if the
    /// text has faults, does not fit the digest or is not later.
    bool restore(snapshot_record const& header, std::string_view text);

    /// The current state, but for the ejections.
    reduced_state const& state() const
    {
        return state_;
    }

    /// The state offset: offset of the last reduced record, if there is one.
    std::optional<core::log_offset> offset() const;

    /// The current state with the ejections. Copies share the sections.
    state_snapshot snapshot() const;

    /// The outcome of a recent edit, or null.
    edit_outcome const* find_outcome(std::string_view id) const;

    /// The chain digest after the record at the offset, as long as it is one
    /// of the latest chain_history records.
    std::optional<core::sha256_digest> chain_at(core::log_offset offset) const;

    /// Offset of the newest snapshot record that differed from this state.
    std::optional<core::log_offset> divergence() const
    {
        return divergence_;
    }

    /// The state offset of the newest snapshot that the log holds completely
    /// and that did not differ from this state.
    std::optional<core::log_offset> newest_snapshot() const
    {
        return newest_snapshot_;
    }

    /// Bytes that the state and the index occupy.
    std::size_t memory_bytes() const;

    /// Chain digests that are kept, 32 KiB in all.
    static constexpr std::size_t chain_history = 1024;

    /// The digest of the state is kept for each offset that is one less than
    /// a multiple of this, so that later snapshot records can be compared.
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
    edit_verdict decide(edit_record const& record,
                        core::log_offset offset,
                        edit_outcome& outcome);
    edit_verdict create(edit_record const& record,
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
    unsigned budget_of(core::service_name const& service) const;
    bool is_known(std::string const& id) const;
    void remember(std::string const& id);
    void remember(edit_outcome outcome);
    void keep_chain();
    std::optional<core::sha256_digest> digest_at(core::log_offset offset) const;

    /// The settings.
    document_reducer_settings settings_;
    /// The ledger of another package.
    ejection_reducer ejections_;
    /// The state.
    reduced_state state_;
    /// Index of the names in the document.
    document_index index_;
    /// Chain digests after the latest records, the newest last.
    std::deque<core::sha256_digest> chains_;
    /// Digests of the state after earlier records.
    std::deque<checkpoint> checkpoints_;
    /// Offset of the last record that was not a snapshot.
    std::optional<core::log_offset> last_change_;
    /// State offset of the newest complete snapshot.
    std::optional<core::log_offset> newest_snapshot_;
    /// Offset of a snapshot record that differed.
    std::optional<core::log_offset> divergence_;
};

} // namespace kumquatloom::document

#endif
