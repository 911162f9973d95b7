#include <kumquatloom/membership/member_table.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

namespace
{

/// Copies what a heartbeat says about its sender.
void copy_claims(peer::heartbeat const& beat, member& item)
{
    item.failure_domain = beat.failure_domain;
    item.region = beat.region;
    item.callers_address = beat.callers_address;
    item.refutation = std::max(item.refutation, beat.refutation);
    item.ready = beat.ready;
    item.reader = beat.reader;
    item.log_readable = beat.log_readable;
    item.relay = beat.relay;
    item.state_offset = beat.state_offset;
    item.chain_digest = beat.chain_digest;
    item.document_version = beat.document_version;
    item.uptime = beat.uptime;
}

/// Starts a new incarnation of a member; what the list says stays.
void restart(member& item, core::incarnation incarnation)
{
    member fresh;
    fresh.id = item.id;
    fresh.incarnation = incarnation;
    fresh.failure_domain = item.failure_domain;
    fresh.region = item.region;
    fresh.callers_address = item.callers_address;
    fresh.peer_address = item.peer_address;
    fresh.added = item.added;
    fresh.listed = item.listed;
    fresh.listed_leaving = item.listed_leaving;
    fresh.listed_leaving_incarnation = item.listed_leaving_incarnation;
    item = fresh;
}

} // namespace

member_table::member_table(member_table_settings settings,
                           core::instance_id self)
    : settings_(settings)
    , self_(std::move(self))
{
}

member_table::contact member_table::record(core::instance_id const& sender,
                                           core::incarnation incarnation,
                                           peer::heartbeat const& beat,
                                           settings::endpoint const& source,
                                           core::time_point now)
{
    contact how = contact::ignored;
    member* const item = member_of(sender, incarnation, now, how);
    if (item == nullptr)
        return contact::ignored;
    item->silent_since = now;
    item->last_direct = now;
    item->accused = false;
    item->peer_address = source;
    // Leaving is final, so it counts in any order.
    if (beat.state == peer::announced_state::leaving)
        item->said_leaving = true;
    if (how == contact::known && beat.uptime < item->uptime)
        return how;
    auto const late = item->lateness.lateness(beat.uptime, now);
    item->last_heard = std::max(item->last_heard, now - late);
    copy_claims(beat, *item);
    item->fresh_as_of = now - late - beat.freshness_age;
    item->state = state_of(*item, now);
    return how;
}

std::optional<core::duration>
member_table::lateness(core::instance_id const& sender,
                       core::incarnation incarnation,
                       std::chrono::milliseconds uptime,
                       core::time_point now)
{
    auto const found = members_.find(sender);
    if (found == members_.end() || found->second.incarnation != incarnation ||
        !found->second.lateness.primed())
        return std::nullopt;
    return found->second.lateness.lateness(uptime, now);
}

void member_table::record(peer::ack const& answer,
                          bool direct,
                          core::time_point asked,
                          core::time_point now)
{
    // An ack names neither region nor address, so it makes no member.
    auto const found = members_.find(answer.subject);
    if (found == members_.end() ||
        found->second.incarnation != answer.incarnation)
        return;
    member& item = found->second;
    item.silent_since = std::max(item.silent_since, now);
    item.last_heard = std::max(item.last_heard, asked);
    item.refutation = std::max(item.refutation, answer.refutation);
    item.accused = false;
    item.said_leaving = item.said_leaving || answer.leaving;
    if (direct)
        item.last_direct = std::max(item.last_direct, now);
    item.state = state_of(item, now);
}

void member_table::hear_leaving(core::instance_id const& sender,
                                core::incarnation incarnation)
{
    auto const found = members_.find(sender);
    if (found == members_.end() || incarnation < found->second.incarnation)
        return;
    member& item = found->second;
    if (incarnation > item.incarnation)
        restart(item, incarnation);
    item.said_leaving = true;
    item.state = member_state::leaving;
}

void member_table::accuse(core::instance_id const& accused,
                          core::incarnation incarnation,
                          std::uint32_t refutation)
{
    auto const found = members_.find(accused);
    // A refuted suspicion, or one about an ended process, means nothing.
    if (found != members_.end() && found->second.incarnation == incarnation &&
        refutation >= found->second.refutation)
        found->second.accused = true;
}

void member_table::apply_list(std::vector<listed_instance> const& list,
                              core::time_point now)
{
    for (auto& entry : members_)
        entry.second.listed = false;
    for (auto const& named : list)
    {
        if (named.id == self_)
            continue;
        member* const item = make(named.id, now);
        if (item == nullptr)
            continue;
        item->listed = true;
        if (named.leaving && !item->listed_leaving)
            item->listed_leaving_incarnation = item->incarnation;
        item->listed_leaving = named.leaving;
        // What a member says about itself is newer than the list.
        if (!item->heard())
        {
            item->failure_domain = named.failure_domain;
            item->region = named.region;
            item->callers_address = named.callers_address;
            item->peer_address = named.peer_address;
        }
        item->state = state_of(*item, now);
    }
    for (auto& entry : members_)
        if (!entry.second.listed)
            entry.second.listed_leaving = false;
}

void member_table::add_contact(listed_instance const& named,
                               core::time_point now)
{
    if (named.id == self_ || members_.contains(named.id))
        return;
    member* const item = make(named.id, now);
    if (item == nullptr)
        return;
    item->failure_domain = named.failure_domain;
    item->region = named.region;
    item->callers_address = named.callers_address;
    item->peer_address = named.peer_address;
}

void member_table::judge(core::time_point now)
{
    for (auto position = members_.begin(); position != members_.end();)
    {
        member& item = position->second;
        item.state = state_of(item, now);
        if (gone(item, now))
        {
            bury(item, now);
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

void member_table::excuse(core::duration pause, core::time_point now)
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

member* member_table::make(core::instance_id const& id, core::time_point now)
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

member* member_table::member_of(core::instance_id const& sender,
                                core::incarnation incarnation,
                                core::time_point now,
                                contact& how)
{
    if (sender == self_)
        return nullptr;
    auto const grave = tombstones_.find(sender);
    bool const buried = grave != tombstones_.end();
    if (buried && incarnation < grave->second.incarnation)
        return nullptr;
    member* const item = make(sender, now);
    if (item == nullptr || incarnation < item->incarnation)
        return nullptr;
    how = incarnation == item->incarnation ? contact::known : contact::first;
    if (how == contact::first)
    {
        bool const unheard = !item->heard();
        restart(*item, incarnation);
        // The list named the member before it was heard, so the list's word
        // is about the incarnation that is heard first.
        if (unheard)
            item->listed_leaving_incarnation = incarnation;
    }
    if (buried)
    {
        // A removed incarnation may return, but not from leaving.
        item->said_leaving =
            grave->second.leaving && grave->second.incarnation == incarnation;
        tombstones_.erase(grave);
    }
    return item;
}

void member_table::bury(member const& gone, core::time_point now)
{
    if (!gone.heard())
        return;
    if (tombstones_.size() >= settings_.max_tombstones)
        tombstones_.erase(std::min_element(
            tombstones_.begin(),
            tombstones_.end(),
            [](auto const& left, auto const& right)
            {
                return left.second.removed < right.second.removed;
            }));
    tombstones_[gone.id] = {gone.incarnation, gone.said_leaving, now};
}

bool member_table::gone(member const& item, core::time_point now) const
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
    bool const list_means_it =
        item.listed_leaving &&
        item.incarnation == item.listed_leaving_incarnation;
    if (item.said_leaving || list_means_it)
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
