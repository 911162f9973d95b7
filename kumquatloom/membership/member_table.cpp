#include <kumquatloom/membership/member_table.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

namespace
{

/// Copies the sender's statements about itself from a heartbeat.
void copy_heartbeat(peer::heartbeat const& heartbeat, member& item)
{
    item.failure_domain = heartbeat.failure_domain;
    item.region = heartbeat.region;
    item.callers_address = heartbeat.callers_address;
    item.refutation = std::max(item.refutation, heartbeat.refutation);
    item.ready = heartbeat.ready;
    item.reader = heartbeat.reader;
    item.log_readable = heartbeat.log_readable;
    item.relay = heartbeat.relay;
    item.state_offset = heartbeat.state_offset;
    item.chain_digest = heartbeat.chain_digest;
    item.document_version = heartbeat.document_version;
    item.uptime = heartbeat.uptime;
}

/// Resets a member for a new incarnation; the information from the list is
/// kept.
void start_incarnation(member& item, core::incarnation incarnation)
{
    member next;
    next.id = item.id;
    next.incarnation = incarnation;
    next.failure_domain = item.failure_domain;
    next.region = item.region;
    next.callers_address = item.callers_address;
    next.peer_address = item.peer_address;
    next.added = item.added;
    next.listed = item.listed;
    next.listed_leaving = item.listed_leaving;
    next.listed_leaving_incarnation = item.listed_leaving_incarnation;
    item = next;
}

} // namespace

member_table::member_table(member_table_settings settings,
                           core::instance_id self)
    : settings_(settings)
    , self_(std::move(self))
{
}

member_table::message_result
member_table::record(core::instance_id const& sender,
                     core::incarnation incarnation,
                     peer::heartbeat const& heartbeat,
                     settings::endpoint const& source,
                     core::time_point now)
{
    message_result result = message_result::ignored;
    member* const item = accept_sender(sender, incarnation, now, result);
    if (item == nullptr)
        return message_result::ignored;
    item->silent_since = now;
    item->last_direct = now;
    item->suspected_by_peer = false;
    item->peer_address = source;
    // Leaving is final, so it is accepted from reordered heartbeats too.
    if (heartbeat.state == peer::announced_state::leaving)
        item->announced_leaving = true;
    if (result == message_result::known && heartbeat.uptime < item->uptime)
        return result;
    auto const late = item->lateness.lateness(heartbeat.uptime, now);
    item->last_heard = std::max(item->last_heard, now - late);
    copy_heartbeat(heartbeat, *item);
    item->fresh_as_of = now - late - heartbeat.freshness_age;
    item->state = state_of(*item, now);
    return result;
}

std::optional<core::duration>
member_table::lateness(core::instance_id const& sender,
                       core::incarnation incarnation,
                       std::chrono::milliseconds uptime,
                       core::time_point now)
{
    auto const found = members_.find(sender);
    if (found == members_.end() || found->second.incarnation != incarnation ||
        !found->second.lateness.has_reference())
        return std::nullopt;
    return found->second.lateness.lateness(uptime, now);
}

void member_table::record(peer::ack const& ack,
                          bool direct,
                          core::time_point sent_at,
                          core::time_point now)
{
    // An ack has neither region nor address, so it cannot add a member.
    auto const found = members_.find(ack.subject);
    if (found == members_.end() || found->second.incarnation != ack.incarnation)
        return;
    member& item = found->second;
    item.silent_since = std::max(item.silent_since, now);
    item.last_heard = std::max(item.last_heard, sent_at);
    item.refutation = std::max(item.refutation, ack.refutation);
    item.suspected_by_peer = false;
    item.announced_leaving = item.announced_leaving || ack.leaving;
    if (direct)
        item.last_direct = std::max(item.last_direct, now);
    item.state = state_of(item, now);
}

void member_table::record_leaving(core::instance_id const& sender,
                                  core::incarnation incarnation)
{
    auto const found = members_.find(sender);
    if (found == members_.end() || incarnation < found->second.incarnation)
        return;
    member& item = found->second;
    if (incarnation > item.incarnation)
        start_incarnation(item, incarnation);
    item.announced_leaving = true;
    item.state = member_state::leaving;
}

void member_table::record_suspicion(core::instance_id const& subject,
                                    core::incarnation incarnation,
                                    std::uint32_t refutation)
{
    auto const found = members_.find(subject);
    // Ignore a refuted suspicion, and one about another incarnation.
    if (found != members_.end() && found->second.incarnation == incarnation &&
        refutation >= found->second.refutation)
        found->second.suspected_by_peer = true;
}

void member_table::apply_list(std::vector<listed_instance> const& list,
                              core::time_point now)
{
    for (auto& entry : members_)
        entry.second.listed = false;
    for (auto const& instance : list)
    {
        if (instance.id == self_)
            continue;
        member* const item = find_or_add(instance.id, now);
        if (item == nullptr)
            continue;
        item->listed = true;
        if (instance.leaving && !item->listed_leaving)
            item->listed_leaving_incarnation = item->incarnation;
        item->listed_leaving = instance.leaving;
        // A member's own heartbeats are newer than the list.
        if (!item->heard())
        {
            item->failure_domain = instance.failure_domain;
            item->region = instance.region;
            item->callers_address = instance.callers_address;
            item->peer_address = instance.peer_address;
        }
        item->state = state_of(*item, now);
    }
    for (auto& entry : members_)
        if (!entry.second.listed)
            entry.second.listed_leaving = false;
}

void member_table::add_contact(listed_instance const& instance,
                               core::time_point now)
{
    if (instance.id == self_ || members_.contains(instance.id))
        return;
    member* const item = find_or_add(instance.id, now);
    if (item == nullptr)
        return;
    item->failure_domain = instance.failure_domain;
    item->region = instance.region;
    item->callers_address = instance.callers_address;
    item->peer_address = instance.peer_address;
}

void member_table::update_states(core::time_point now)
{
    for (auto position = members_.begin(); position != members_.end();)
    {
        member& item = position->second;
        item.state = state_of(item, now);
        if (is_expired(item, now))
        {
            add_tombstone(item, now);
            position = members_.erase(position);
        }
        else
            ++position;
    }
    std::erase_if(tombstones_,
                  [this, now](auto const& entry)
                  {
                      return now - entry.second.removed >=
                             settings_.tombstone_lifetime;
                  });
}

void member_table::exclude_pause(core::duration pause, core::time_point now)
{
    for (auto& entry : members_)
    {
        member& item = entry.second;
        item.silent_since = std::min(now, item.silent_since + pause);
        item.last_direct = std::min(now, item.last_direct + pause);
    }
}

member const* member_table::find(core::instance_id const& id) const
{
    auto const found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

member* member_table::find_or_add(core::instance_id const& id,
                                  core::time_point now)
{
    auto const found = members_.find(id);
    if (found != members_.end())
        return &found->second;
    if (members_.size() >= settings_.max_members)
        return nullptr;
    member item;
    item.id = id;
    item.added = now;
    item.silent_since = now;
    return &members_.emplace(id, std::move(item)).first->second;
}

member* member_table::accept_sender(core::instance_id const& sender,
                                    core::incarnation incarnation,
                                    core::time_point now,
                                    message_result& result)
{
    if (sender == self_)
        return nullptr;
    auto const tombstone_entry = tombstones_.find(sender);
    bool const had_tombstone = tombstone_entry != tombstones_.end();
    if (had_tombstone && incarnation < tombstone_entry->second.incarnation)
        return nullptr;
    member* const item = find_or_add(sender, now);
    if (item == nullptr || incarnation < item->incarnation)
        return nullptr;
    result = incarnation == item->incarnation ? message_result::known
                                              : message_result::first;
    if (result == message_result::first)
    {
        bool const unheard = !item->heard();
        start_incarnation(*item, incarnation);
        // The list named the member before any incarnation was known, so its
        // leaving mark applies to the first incarnation that is heard from.
        if (unheard)
            item->listed_leaving_incarnation = incarnation;
    }
    if (had_tombstone)
    {
        // A removed incarnation may return, but remains leaving if it had
        // announced that.
        item->announced_leaving =
            tombstone_entry->second.leaving &&
            tombstone_entry->second.incarnation == incarnation;
        tombstones_.erase(tombstone_entry);
    }
    return item;
}

void member_table::add_tombstone(member const& removed_member,
                                 core::time_point now)
{
    if (!removed_member.heard())
        return;
    if (tombstones_.size() >= settings_.max_tombstones)
        tombstones_.erase(std::min_element(
            tombstones_.begin(),
            tombstones_.end(),
            [](auto const& left, auto const& right)
            {
                return left.second.removed < right.second.removed;
            }));
    tombstones_[removed_member.id] = {
        removed_member.incarnation, removed_member.announced_leaving, now};
}

bool member_table::is_expired(member const& item, core::time_point now) const
{
    if (item.listed)
        return false;
    if (!item.heard())
        return now - item.added >= settings_.contact_lifetime;
    return now - item.silent_since >= settings_.dead_after;
}

member_state member_table::state_of(member const& item,
                                    core::time_point now) const
{
    bool const listed_as_leaving =
        item.listed_leaving &&
        item.incarnation == item.listed_leaving_incarnation;
    if (item.announced_leaving || listed_as_leaving)
        return member_state::leaving;
    if (!item.heard())
        return member_state::unheard;
    auto const silence = now - item.silent_since;
    if (silence >= settings_.dead_after)
        return member_state::dead;
    if (silence >= settings_.suspect_after)
        return member_state::suspect;
    return member_state::live;
}

} // namespace kumquatloom::membership
