#include <kumquatloom/document/log_follower.hpp>
#include <kumquatloom/document/log_record.hpp>

#include <algorithm>
#include <variant>

namespace kumquatloom::document
{

namespace
{

bool is_consecutive(std::vector<log_entry> const& entries)
{
    for (std::size_t i = 1; i < entries.size(); ++i)
        if (entries[i].offset != entries[i - 1].offset + 1)
            return false;
    return true;
}

} // namespace

log_follower::log_follower(document_reducer& reducer,
                           log_follower_settings settings)
    : reducer_(reducer)
    , settings_(settings)
    // A reducer that already has a state may not have read it from this log, so
    // the log is first compared with the state.
    , mode_(reducer.state().next == 0 ? mode::following : mode::verifying)
{
}

log_request log_follower::next_request() const
{
    auto const next = reducer_.state().next;
    switch (mode_)
    {
    case mode::scanning:
        return {scan_from_, settings_.page_size, scan_at_end_};
    case mode::verifying:
        if (next > 0)
            return {next - 1, settings_.page_size, false};
        break;
    case mode::following:
        break;
    }
    return {next, settings_.page_size, true};
}

follow_result log_follower::handle_page(log_request const& request,
                                        log_page const& page)
{
    if (mode_ == mode::scanning)
        return scan(request, page);
    auto const next = reducer_.state().next;
    if (page.next < next)
        return mark_disagreement(follow_event::truncated);
    bool const has_gap =
        !is_consecutive(page.records) ||
        (!page.records.empty() && page.records.front().offset > next);
    if (page.first > next)
        return handle_retention_cut(page.first);
    if (has_gap)
        return {follow_event::gap, {}, {}};
    // A verification read starts at a reduced record and must return it.
    bool const is_verification = request.from < next;
    bool const lacks_reduced_record =
        is_verification && request.from >= page.first &&
        (page.records.empty() || page.records.front().offset > request.from);
    if (lacks_reduced_record)
        return {follow_event::gap, {}, {}};
    if (!matches_state(page.records))
        return mark_disagreement(follow_event::diverged);
    disagrees_ = false;
    mode_ = mode::following;
    auto result = reduce(page.records);
    result.head = page.next;
    return result;
}

follow_result log_follower::handle_retention_cut(core::log_offset first)
{
    // If only the last reduced record is gone, no new record is missing, so the
    // verification is skipped.
    if (mode_ != mode::scanning && first <= reducer_.state().next)
    {
        mode_ = mode::following;
        return {follow_event::idle, {}, {}};
    }
    mode_ = mode::scanning;
    scan_first_ = first;
    scan_from_ = first;
    scan_at_end_ = false;
    assembler_.clear();
    return {follow_event::retention_cut, {}, {}};
}

void log_follower::handle_failed_read()
{
    if (mode_ == mode::following)
        mode_ = mode::verifying;
}

follow_result log_follower::handle_push(std::vector<log_entry> const& entries,
                                        core::sha256_digest const& chain_after)
{
    auto const& state = reducer_.state();
    if (!is_consecutive(entries) ||
        (!entries.empty() && entries.front().offset > state.next))
        return {follow_event::gap, {}, {}};
    if (!matches_state(entries))
        return {follow_event::diverged, {}, {}};
    if (entries.empty() || entries.back().offset < state.next)
        return {follow_event::idle, {}, {}};
    // The chain digest is verified before any record is reduced.
    auto chain = state.chain;
    for (auto const& entry : entries)
        if (entry.offset >= state.next)
            chain = extend_chain(chain, entry.offset, entry.data);
    if (chain != chain_after)
        return {follow_event::diverged, {}, {}};
    auto result = reduce(entries);
    // The peer supplied the records that the log no longer retains.
    if (mode_ == mode::scanning && reducer_.state().next >= scan_first_)
        mode_ = mode::verifying;
    return result;
}

follow_result log_follower::mark_disagreement(follow_event event)
{
    disagrees_ = true;
    mode_ = mode::verifying;
    return {event, {}, {}};
}

follow_result log_follower::reduce(std::vector<log_entry> const& entries)
{
    follow_result result;
    for (auto const& entry : entries)
        if (entry.offset == reducer_.state().next)
            result.effects.push_back(reducer_.reduce(entry));
    result.event =
        result.effects.empty() ? follow_event::idle : follow_event::advanced;
    return result;
}

follow_result log_follower::scan(log_request const& request,
                                 log_page const& page)
{
    if (page.first > request.from)
        return handle_retention_cut(page.first);
    for (auto const& entry : page.records)
    {
        if (entry.offset != scan_from_)
            continue;
        ++scan_from_;
        core::fault_list faults;
        auto record = parse_record(entry.data, faults);
        if (record && std::holds_alternative<snapshot_record>(*record))
            assembler_.add(std::get<snapshot_record>(std::move(*record)));
    }
    scan_at_end_ = scan_from_ >= page.next;
    if (!scan_at_end_)
        return {page.records.empty() ? follow_event::gap : follow_event::idle,
                {},
                {}};
    return finish_scan();
}

follow_result log_follower::finish_scan()
{
    auto const& newest = assembler_.newest();
    // A snapshot is unusable if records between it and the first retained
    // record are missing.
    bool const is_usable = newest && newest->header.offset + 1 >= scan_first_;
    bool const is_restored =
        is_usable && reducer_.restore(newest->header, newest->text);
    // Without a usable snapshot, scanning continues until one is written.
    if (!is_restored)
        return {follow_event::no_snapshot, {}, {}};
    assembler_.clear();
    disagrees_ = false;
    mode_ = mode::following;
    return {follow_event::restored, {}, {}};
}

bool log_follower::matches_state(std::vector<log_entry> const& entries) const
{
    for (auto const& entry : entries)
    {
        auto const after = reducer_.chain_at(entry.offset);
        auto const before = entry.offset == 0
                                ? std::optional(core::sha256_digest{})
                                : reducer_.chain_at(entry.offset - 1);
        if (after && before &&
            extend_chain(*before, entry.offset, entry.data) != *after)
            return false;
    }
    return true;
}

} // namespace kumquatloom::document
