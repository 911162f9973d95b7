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

/// Bytes of records and snapshot parts in one response, which leaves room for
/// the frame around them.
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
    , start_(settings.start)
{
}

bool fleet_state::log_answered(document::log_request const& request,
                               document::log_page const& page,
                               core::time_point now)
{
    auto const before = reducer_.state().next;
    auto const result = follower_.handle_page(request, page);
    if (result.head)
    {
        log_head_ = result.head;
        start_.read_log_head(*result.head);
    }
    if (reducer_.state().next == before)
        return false;
    if (result.event == document::follow_event::restored)
        kept_.clear();
    keep(page.records, before);
    learned(now);
    return true;
}

void fleet_state::log_cut(core::log_offset first)
{
    follower_.handle_retention_cut(first);
}

bool fleet_state::peer_records(peer::sync_response const& response,
                               core::time_point now)
{
    if (response.records.empty())
        return false;
    auto const before = reducer_.state().next;
    auto const entries = entries_of(response);
    follower_.pushed(entries, response.chain_after);
    if (reducer_.state().next == before)
        return false;
    keep(entries, before);
    learned(now);
    return true;
}

bool fleet_state::peer_snapshot(std::string_view text, core::time_point now)
{
    core::fault_list faults;
    auto const snapshot = document::parse_snapshot(text, faults);
    if (!snapshot || snapshot->state.next == 0)
        return false;
    document::snapshot_record header;
    header.offset = snapshot->state.next - 1;
    header.chain = snapshot->state.chain;
    header.digest = document::digest_of(snapshot->state, snapshot->ejections);
    if (!reducer_.restore(header, text))
        return false;
    kept_.clear();
    kept_bytes_ = 0;
    learned(now);
    return true;
}

peer::sync_response fleet_state::answer(peer::sync_request const& request)
{
    // Peers count records from 1, so that 0 can stand for none.
    auto const next = reducer_.state().next;
    auto const from = request.from == 0 ? 0 : request.from - 1;
    bool const holds_all =
        from >= next || (!kept_.empty() && from >= kept_.front().entry.offset);
    if (request.snapshot_offset != 0 || !holds_all)
        return answer_with_snapshot(request);
    peer::sync_response response;
    response.nonce = request.nonce;
    // Add records while they fit.
    std::size_t bytes = 0;
    for (auto const& record : kept_)
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
    auto const announced_state = announced();
    response.state_offset = announced_state.state_offset;
    response.chain_digest = announced_state.chain_digest;
    return response;
}

peer::sync_response
fleet_state::answer_with_snapshot(peer::sync_request const& request)
{
    // A snapshot stays as it is while a peer fetches its parts.
    if (request.snapshot_position == 0 || !snapshot_offset_)
    {
        snapshot_text_ = document::to_text(reducer_.snapshot());
        snapshot_offset_ = reducer_.state().next;
    }
    peer::sync_response response;
    response.nonce = request.nonce;
    auto const announced_state = announced();
    response.state_offset = announced_state.state_offset;
    response.chain_digest = announced_state.chain_digest;
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

bool fleet_state::may_serve()
{
    if (served_)
        return true;
    if (!start_.may_serve(reducer_.state().next))
        return false;
    served_ = true;
    // The cell may act on everything that this instance had to learn.
    if (auto const offset = reducer_.offset())
    {
        activation_.activate(*offset);
        activate_documents();
    }
    return true;
}

membership::local_state fleet_state::announced() const
{
    membership::local_state state;
    state.state_offset = reducer_.state().next;
    state.chain_digest = first_bytes(reducer_.state().chain);
    state.document_version = reducer_.state().document.version;
    return state;
}

bool fleet_state::snapshot_due(core::time_point now) const
{
    return snapshots_ && snapshots_->is_due(reducer_.state().next, now);
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
    return reducer_.memory_bytes() + kept_bytes_ + snapshot_text_.size();
}

void fleet_state::keep(std::vector<document::log_entry> const& entries,
                       core::log_offset first_new)
{
    for (auto const& entry : entries)
    {
        auto const chain = reducer_.chain_at(entry.offset);
        if (entry.offset < first_new || !chain)
            continue;
        // A gap, for instance after a snapshot, makes older records useless.
        if (!kept_.empty() && kept_.back().entry.offset + 1 != entry.offset)
        {
            kept_.clear();
            kept_bytes_ = 0;
        }
        kept_.push_back({entry, *chain});
        kept_bytes_ += entry.data.size();
    }
    while (kept_.size() > settings_.kept_records ||
           (kept_bytes_ > settings_.kept_bytes && kept_.size() > 1))
    {
        kept_bytes_ -= kept_.front().entry.data.size();
        kept_.pop_front();
    }
}

void fleet_state::learned(core::time_point now)
{
    auto const offset = reducer_.offset();
    if (!offset)
        return;
    activation_.learned(*offset, now);
    if (!snapshots_)
        snapshots_.emplace(settings_.snapshots, now);
    snapshots_->seen(reducer_.newest_snapshot(), now);
    // Capture the document for its activation, if it has changed.
    auto const& reduced = reducer_.state().document;
    if (reduced.created && captured_version_ != reduced.version)
    {
        captured_version_ = reduced.version;
        waiting_.push_back({*offset, document::expand(reduced)});
    }
}

bool fleet_state::activate_documents()
{
    auto const active = activation_.active();
    bool changed = false;
    while (active && !waiting_.empty() && waiting_.front().offset <= *active)
    {
        auto next = std::move(waiting_.front().content);
        waiting_.pop_front();
        if (active_document_ && next->version < active_document_->version)
            continue;
        active_document_ = std::move(next);
        changed = true;
    }
    return changed;
}

} // namespace kumquatloom::control
