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

/// An instance's copy of the state that the log's order defines: the document,
/// the ejections, and what the instance may act on. Performs no I/O.
class fleet_state
{
public:
    /// A document that can be put in force.
    using document_pointer = boost::intrusive_ptr<document::document const>;

    /// Knows nothing at first.
    explicit fleet_state(fleet_state_settings const& settings);

    fleet_state(fleet_state const&) = delete;
    fleet_state& operator=(fleet_state const&) = delete;

    /// The next read of the log.
    document::log_request next_read() const
    {
        return follower_.next_request();
    }

    /// The log answered a read; true if there are new records.
    bool log_answered(document::log_request const& request,
                      document::log_page const& page,
                      core::time_point now);

    /// The log no longer holds the offset that was asked for.
    void log_cut(core::log_offset first);

    /// A read of the log failed.
    void log_failed()
    {
        follower_.failed();
    }

    /// Takes in records of a peer; true if there are new ones.
    bool peer_records(peer::sync_response const& response,
                      core::time_point now);

    /// Takes in the whole text of a peer's snapshot; true if it was restored.
    bool peer_snapshot(std::string_view text, core::time_point now);

    /// What a peer gets that lacks records or a part of a snapshot. The
    /// freshness is the caller's to fill in.
    peer::sync_response answer(peer::sync_request const& request);

    /// Activates what the other live members of the cell hold; true if another
    /// document is in force now.
    bool update_activation(
        std::vector<std::optional<core::log_offset>> const& others,
        core::time_point now);

    /// The document to act on, or null.
    document_pointer const& active_document() const
    {
        return active_document_;
    }

    /// Whether every record that the last direct read saw is reduced.
    bool at_log_head() const;

    /// Decides when the instance may serve.
    document::start_rule& start()
    {
        return start_;
    }

    /// Whether the instance knows enough to serve. Stays true once it was.
    bool may_serve();

    /// What heartbeats carry; readiness is the caller's to fill in.
    membership::local_state announced() const;

    /// The outcome of a recent edit, or null.
    document::edit_outcome const* find_outcome(std::string_view id) const
    {
        return reducer_.find_outcome(id);
    }

    /// Whether so many records followed the newest complete snapshot, or so
    /// much time, that a new one is due.
    bool snapshot_due(core::time_point now) const;

    /// The records of a snapshot of the present state.
    std::vector<std::string> snapshot_records() const;

    /// The ejections.
    health::ejection_ledger const& ejections() const
    {
        return ledger_.ledger();
    }

    /// The reduced document, for operators.
    document::reduced_document const& reduced() const
    {
        return reducer_.state().document;
    }

    /// Whether the log was found to be cut back or to differ.
    bool log_disagrees() const
    {
        return follower_.disagrees();
    }

    /// Bytes of the state and of the kept records.
    std::size_t memory_bytes() const;

private:
    /// A record that is kept for peers.
    struct kept_record
    {
        /// The record.
        document::log_entry entry;
        /// The chain digest after it.
        core::sha256_digest chain_after{};
    };

    /// A document that waits for its activation.
    struct waiting_document
    {
        /// Offset of the state that it belongs to.
        core::log_offset offset = 0;
        /// The document.
        document_pointer content;
    };

    void keep(std::vector<document::log_entry> const& entries,
              core::log_offset first_new);
    void learned(core::time_point now);
    bool activate_documents();
    peer::sync_response answer_with_snapshot(peer::sync_request const& request);

    /// The settings.
    fleet_state_settings settings_;
    /// The ejections.
    ledger_adapter ledger_;
    /// Reduces records.
    document::document_reducer reducer_;
    /// Follows the log.
    document::log_follower follower_;
    /// Decides what is acted on.
    document::activation_rule activation_;
    /// Decides whether to serve.
    document::start_rule start_;
    /// Recent records, consecutive, the oldest first.
    std::deque<kept_record> kept_;
    /// Bytes of their texts.
    std::size_t kept_bytes_ = 0;
    /// Documents above the active one, the oldest first.
    std::deque<waiting_document> waiting_;
    /// The document to act on.
    document_pointer active_document_;
    /// Version of the last document that was captured.
    std::optional<core::log_offset> captured_version_;
    /// Head of the log at the last direct read.
    std::optional<core::log_offset> log_head_;
    /// Decides when a snapshot is due; set with the first records.
    std::optional<document::snapshot_policy> snapshots_;
    /// Text of a snapshot for peers, and the offset that it belongs to.
    std::string snapshot_text_;
    /// Number of records in that snapshot.
    std::optional<core::log_offset> snapshot_offset_;
    /// Whether may_serve() was true before.
    bool served_ = false;
};

} // namespace kumquatloom::control

#endif
