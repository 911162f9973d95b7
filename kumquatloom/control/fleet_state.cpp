#include <kumquatloom/control/fleet_state.hpp>
#include <kumquatloom/core/digest.hpp>
#include <kumquatloom/document/log_record.hpp>
#include <kumquatloom/document/reduced_document.hpp>
#include <kumquatloom/document/state_snapshot.hpp>
#include <kumquatloom/peer/limits.hpp>
#include <kumquatloom/peer/sync_request.hpp>
#include <kumquatloom/peer/sync_response.hpp>

#include <algorithm>
#include <cstring>
#include <utility>

namespace kumquatloom::control
{

namespace
{

/// Maximum bytes of records or of a snapshot part in one response, which leaves
/// room for the frame header.
constexpr std::size_t max_response_bytes = peer::max_record_bytes;

std::uint64_t first_bytes(core::sha256_digest const& digest)
{
    std::uint64_t number = 0;
    std::memcpy(&number, digest.data(), sizeof number);
    return number;
}

std::vector<document::log_entry> entries_of(peer::sync_response const& response)
{
    std::vector<document::log_entry> entries;
    entries.reserve(response.records.size());
    for (auto const& record : response.records)
        entries.push_back({record.offset, record.data});
    return entries;
}

} // namespace

fleet_state::fleet_state(fleet_state_settings const& settings)
    : settings_(settings)
    , reducer_(settings.reducer, document::make_ejection_reducer(ledger_))
    , follower_(reducer_)
    , activation_(settings.activation)
    , readiness_(settings.readiness)
{
}

bool fleet_state::apply_log_page(document::log_request const& request,
                                 document::log_page const& page,
                                 core::time_point now)
{
    auto const before = reducer_.state().next;
    auto const result = follower_.handle_page(request, page);
    if (result.head)
    {
        log_head_ = result.head;
        readiness_.update_log_head(*result.head);
    }
    if (reducer_.state().next == before)
        return false;
    if (result.event == document::follow_event::restored)
        retained_.clear();
    retain(page.records, before);
    update_reduced_offset(now);
    return true;
}

void fleet_state::handle_retention_cut(core::log_offset first)
{
    follower_.handle_retention_cut(first);
}

bool fleet_state::apply_peer_records(peer::sync_response const& response,
                                     core::time_point now)
{
    if (response.records.empty())
        return false;
    auto const before = reducer_.state().next;
    auto const entries = entries_of(response);
    follower_.handle_push(entries, response.chain_after);
    if (reducer_.state().next == before)
        return false;
    retain(entries, before);
    update_reduced_offset(now);
    return true;
}

bool fleet_state::restore_peer_snapshot(std::string_view text,
                                        core::time_point now)
{
    core::fault_list faults;
    auto const snapshot = document::parse_snapshot(text, faults);
    if (!snapshot || snapshot->state.next == 0)
        return false;
    // A peer sends only the text, so the header is computed from it.
    document::snapshot_record header;
    header.offset = snapshot->state.next - 1;
    header.chain = snapshot->state.chain;
    header.digest = document::digest_of(snapshot->state, snapshot->ejections);
    if (!reducer_.restore(header, text))
        return false;
    retained_.clear();
    retained_bytes_ = 0;
    update_reduced_offset(now);
    return true;
}

peer::sync_response
fleet_state::make_sync_response(peer::sync_request const& request)
{
    // `first_missing_record` counts records from 1, so that 0 can mean that the
    // request names no record.
    auto const next = reducer_.state().next;
    auto const from = request.first_missing_record == 0
                          ? 0
                          : request.first_missing_record - 1;
    bool const retains_all =
        from >= next ||
        (!retained_.empty() && from >= retained_.front().entry.offset);
    if (request.snapshot_offset != 0 || !retains_all)
        return make_snapshot_response(request);
    peer::sync_response response;
    response.nonce = request.nonce;
    std::size_t bytes = 0;
    for (auto const& record : retained_)
    {
        if (record.entry.offset < from)
            continue;
        bytes += record.entry.data.size();
        if (response.records.size() == peer::max_sync_records ||
            (bytes > max_response_bytes && !response.records.empty()))
            break;
        response.records.push_back({record.entry.offset, record.entry.data});
        response.chain_after = record.chain_after;
    }
    auto const advertised = advertised_state();
    response.state_offset = advertised.state_offset;
    response.chain_digest = advertised.chain_digest;
    return response;
}

peer::sync_response
fleet_state::make_snapshot_response(peer::sync_request const& request)
{
    // The snapshot is only rebuilt when a peer starts a new fetch, so that the
    // parts of one fetch fit together.
    if (request.snapshot_position == 0 || !snapshot_offset_)
    {
        snapshot_text_ = document::to_text(reducer_.snapshot());
        snapshot_offset_ = reducer_.state().next;
    }
    peer::sync_response response;
    response.nonce = request.nonce;
    auto const advertised = advertised_state();
    response.state_offset = advertised.state_offset;
    response.chain_digest = advertised.chain_digest;
    bool const same_snapshot = request.snapshot_position == 0 ||
                               request.snapshot_offset == snapshot_offset_;
    if (!snapshot_offset_ || !same_snapshot ||
        request.snapshot_position >= snapshot_text_.size())
        return response;
    response.snapshot_offset = *snapshot_offset_;
    response.snapshot_size = snapshot_text_.size();
    response.snapshot_position = request.snapshot_position;
    response.snapshot_part =
        snapshot_text_.substr(request.snapshot_position, max_response_bytes);
    return response;
}

bool fleet_state::update_activation(
    std::vector<std::optional<core::log_offset>> const& others,
    core::time_point now)
{
    activation_.update(others, now);
    return activate_documents();
}

bool fleet_state::at_log_head() const
{
    return log_head_ && reducer_.state().next >= *log_head_;
}

bool fleet_state::update_readiness()
{
    if (ready_)
        return true;
    if (!readiness_.may_serve(reducer_.state().next))
        return false;
    ready_ = true;
    // The cell may already have activated every record that this instance had
    // to reduce before it became ready, so all of them are activated at once.
    if (auto const offset = reducer_.offset())
    {
        activation_.activate(*offset);
        activate_documents();
    }
    return true;
}

membership::local_state fleet_state::advertised_state() const
{
    membership::local_state state;
    state.state_offset = reducer_.state().next;
    state.chain_digest = first_bytes(reducer_.state().chain);
    state.document_version = reducer_.state().document.version;
    return state;
}

bool fleet_state::snapshot_due(core::time_point now) const
{
    return snapshot_policy_ &&
           snapshot_policy_->is_due(reducer_.state().next, now);
}

std::vector<std::string> fleet_state::snapshot_records() const
{
    std::vector<std::string> texts;
    for (auto const& record : document::split_snapshot(
             reducer_.snapshot(), document::random_record_id()))
        texts.push_back(document::to_text(record));
    return texts;
}

std::size_t fleet_state::memory_bytes() const
{
    return reducer_.memory_bytes() + retained_bytes_ + snapshot_text_.size();
}

void fleet_state::retain(std::vector<document::log_entry> const& entries,
                         core::log_offset first_new)
{
    for (auto const& entry : entries)
    {
        auto const chain = reducer_.chain_at(entry.offset);
        if (entry.offset < first_new || !chain)
            continue;
        // Peers need consecutive records, so a gap, for example after a
        // snapshot, invalidates the older ones.
        if (!retained_.empty() &&
            retained_.back().entry.offset + 1 != entry.offset)
        {
            retained_.clear();
            retained_bytes_ = 0;
        }
        retained_.push_back({entry, *chain});
        retained_bytes_ += entry.data.size();
    }
    while (retained_.size() > settings_.retained_records ||
           (retained_bytes_ > settings_.retained_bytes && retained_.size() > 1))
    {
        retained_bytes_ -= retained_.front().entry.data.size();
        retained_.pop_front();
    }
}

void fleet_state::update_reduced_offset(core::time_point now)
{
    auto const offset = reducer_.offset();
    if (!offset)
        return;
    activation_.offset_reduced(*offset, now);
    if (!snapshot_policy_)
        snapshot_policy_.emplace(settings_.snapshots, now);
    snapshot_policy_->update_newest(reducer_.newest_snapshot(), now);
    // Expand a changed document now; it is published when its offset becomes
    // active.
    auto const& reduced = reducer_.state().document;
    if (reduced.created && expanded_version_ != reduced.version)
    {
        expanded_version_ = reduced.version;
        pending_.push_back({*offset, document::expand(reduced)});
    }
}

bool fleet_state::activate_documents()
{
    auto const active = activation_.active();
    bool changed = false;
    while (active && !pending_.empty() && pending_.front().offset <= *active)
    {
        auto next = std::move(pending_.front().content);
        pending_.pop_front();
        if (active_document_ && next->version < active_document_->version)
            continue;
        active_document_ = std::move(next);
        changed = true;
    }
    return changed;
}

} // namespace kumquatloom::control
