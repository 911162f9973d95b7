#ifndef KUMQUATLOOM_CONTROL_FLEET_STATE_HPP
#define KUMQUATLOOM_CONTROL_FLEET_STATE_HPP

#include <kumquatloom/control/fleet_state_settings.hpp>
#include <kumquatloom/control/ledger_adapter.hpp>
#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/document/activation_rule.hpp>
#include <kumquatloom/document/document.hpp>
#include <kumquatloom/document/document_reducer.hpp>
#include <kumquatloom/document/log_follower.hpp>
#include <kumquatloom/document/readiness_rule.hpp>
#include <kumquatloom/document/snapshot_policy.hpp>
#include <kumquatloom/membership/local_state.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatloom::peer
{
struct sync_request;
struct sync_response;
} // namespace kumquatloom::peer

namespace kumquatloom::control
{

/// An instance's replica of the state that results from the log: the document
/// and the ejections, with the offset that is active and the readiness of the
/// instance. Performs no I/O.
class fleet_state
{
public:
    /// An expanded version of the document.
    using document_pointer = boost::intrusive_ptr<document::document const>;

    /// Starts with an empty state.
    explicit fleet_state(fleet_state_settings const& settings);

    fleet_state(fleet_state const&) = delete;
    fleet_state& operator=(fleet_state const&) = delete;

    /// The next read of the log to perform.
    document::log_request next_read() const
    {
        return follower_.next_request();
    }

    /// Reduces a page of the log. Returns true if there were new records.
    bool apply_log_page(document::log_request const& request,
                        document::log_page const& page,
                        core::time_point now);

    /// Handles a read of an offset that the log no longer retains; `first` is
    /// the first retained one.
    void handle_retention_cut(core::log_offset first);

    /// Handles a failed read of the log.
    void handle_failed_read()
    {
        follower_.handle_failed_read();
    }

    /// Reduces records from a peer. Returns true if there were new ones.
    bool apply_peer_records(peer::sync_response const& response,
                            core::time_point now);

    /// Replaces the state by a peer's snapshot, given as its whole text.
    /// Returns false if the snapshot is invalid or not newer than the state.
    bool restore_peer_snapshot(std::string_view text, core::time_point now);

    /// Builds the response to a peer's request for records or for a part of a
    /// snapshot. The caller fills in the freshness age.
    peer::sync_response make_sync_response(peer::sync_request const& request);

    /// Activates the offsets that enough of the other live members of the cell
    /// have reduced. Returns true if another document is in force now.
    bool update_activation(
        std::vector<std::optional<core::log_offset>> const& others,
        core::time_point now);

    /// The document in force, or null.
    document_pointer const& active_document() const
    {
        return active_document_;
    }

    /// Whether all records that existed at the last read of the log are
    /// reduced.
    bool at_log_head() const;

    /// The rule that decides when the instance is ready to serve.
    document::readiness_rule& readiness()
    {
        return readiness_;
    }

    /// Marks the instance as ready to serve callers once the readiness rule
    /// allows it, and then activates the records that it has reduced. Returns
    /// whether the instance is ready. Once ready, it stays ready.
    bool update_readiness();

    /// The state that heartbeats advertise. The caller fills in the readiness.
    membership::local_state advertised_state() const;

    /// The outcome of a recent edit, or null.
    document::edit_outcome const* find_outcome(std::string_view id) const
    {
        return reducer_.find_outcome(id);
    }

    /// Whether a new snapshot is due, by the records or the time since the
    /// newest complete one.
    bool snapshot_due(core::time_point now) const;

    /// The log records of a snapshot of the current state.
    std::vector<std::string> snapshot_records() const;

    /// The ejection ledger.
    health::ejection_ledger const& ejections() const
    {
        return ledger_.ledger();
    }

    /// The reduced document, for operators.
    document::reduced_document const& reduced() const
    {
        return reducer_.state().document;
    }

    /// Whether the log was truncated or differs from the reduced records.
    bool log_disagrees() const
    {
        return follower_.disagrees();
    }

    /// Memory of the state and of the retained records in bytes.
    std::size_t memory_bytes() const;

private:
    /// A record that is retained for peers that lack it.
    struct retained_record
    {
        document::log_entry entry;
        /// The chain digest after the record.
        core::sha256_digest chain_after{};
    };

    /// A version of the document that is not active yet.
    struct pending_document
    {
        /// Offset that must be active before the document is in force.
        core::log_offset offset = 0;
        document_pointer content;
    };

    void retain(std::vector<document::log_entry> const& entries,
                core::log_offset first_new);
    void update_reduced_offset(core::time_point now);
    bool activate_documents();
    peer::sync_response
    make_snapshot_response(peer::sync_request const& request);

    fleet_state_settings settings_;
    ledger_adapter ledger_;
    /// Reduces records.
    document::document_reducer reducer_;
    /// Decides which records to read and reduces them.
    document::log_follower follower_;
    /// Decides which offset is active.
    document::activation_rule activation_;
    /// Decides when the instance is ready to serve.
    document::readiness_rule readiness_;
    /// Recent records, consecutive, the oldest first.
    std::deque<retained_record> retained_;
    /// Bytes of the texts of the retained records.
    std::size_t retained_bytes_ = 0;
    /// Documents newer than the active one, the oldest first.
    std::deque<pending_document> pending_;
    /// The document in force.
    document_pointer active_document_;
    /// Version of the document that was expanded last.
    std::optional<core::log_offset> expanded_version_;
    /// Offset after the last record of the log, as of the last read.
    std::optional<core::log_offset> log_head_;
    /// Decides when a snapshot is due; set when the first records are reduced.
    std::optional<document::snapshot_policy> snapshot_policy_;
    /// Text of the snapshot that peers are fetching.
    std::string snapshot_text_;
    /// Number of records that the snapshot in `snapshot_text_` covers; absent
    /// before the first fetch.
    std::optional<core::log_offset> snapshot_offset_;
    /// Whether update_readiness() has returned true.
    bool ready_ = false;
};

} // namespace kumquatloom::control

#endif
