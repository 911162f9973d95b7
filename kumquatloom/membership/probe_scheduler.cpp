#include <kumquatloom/membership/probe_scheduler.hpp>
#include <kumquatloom/settings/endpoint.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

probe_scheduler::probe_scheduler(probe_scheduler_settings settings,
                                 std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
{
}

void probe_scheduler::tick(member_table const& table,
                           core::time_point now,
                           outbox& out)
{
    std::erase_if(outstanding_,
                  [this, now](auto const& entry)
                  {
                      return now - entry.second.sent_at >=
                             settings_.ack_timeout;
                  });
    std::erase_if(last_probe_,
                  [&table](auto const& entry)
                  {
                      return table.find(entry.first) == nullptr;
                  });
    for (auto const& [id, item] : table.members())
    {
        if (!is_due(item, now))
            continue;
        last_probe_[id] = now;
        probe(item, now, out);
        probe_through_helpers(table, item, now, out);
    }
}

void probe_scheduler::probe(member const& target,
                            core::time_point now,
                            outbox& out)
{
    auto const nonce = add_outstanding({target.id, now, std::nullopt, 0});
    if (nonce)
        out.datagrams.push_back(
            {{{target.peer_address, peer::peer_scope::same_region}},
             peer::probe{*nonce, target.id, target.incarnation}});
}

void probe_scheduler::probe_for(peer::indirect_probe const& request,
                                peer::destination const& requester,
                                peer::destination const& target,
                                core::time_point now,
                                outbox& out)
{
    auto const nonce =
        add_outstanding({request.target, now, requester, request.nonce});
    if (nonce)
        out.datagrams.push_back(
            {{target},
             peer::probe{*nonce, request.target, request.target_incarnation}});
}

std::optional<probe_scheduler::confirmation>
probe_scheduler::receive(peer::ack const& ack,
                         core::instance_id const& sender,
                         core::time_point now,
                         outbox& out)
{
    auto const found = outstanding_.find(ack.nonce);
    if (found == outstanding_.end() || found->second.target != ack.subject ||
        now - found->second.sent_at >= settings_.ack_timeout)
        return std::nullopt;
    auto const& confirmed = found->second;
    bool const direct = sender == ack.subject;
    if (!confirmed.requester)
        return confirmation{confirmed.sent_at, direct};
    // Only an ack from the probed member itself is forwarded, and only once.
    if (direct)
    {
        peer::ack forwarded = ack;
        forwarded.nonce = confirmed.requester_nonce;
        out.datagrams.push_back({{*confirmed.requester}, forwarded});
        outstanding_.erase(found);
    }
    return std::nullopt;
}

bool probe_scheduler::is_due(member const& item, core::time_point now) const
{
    if (!item.heard() || item.state == member_state::leaving)
        return false;
    auto const silence_limit = item.suspected_by_peer
                                   ? settings_.suspected_probe_after
                                   : settings_.probe_after;
    auto const silence = now - item.last_direct;
    if (silence < silence_limit)
        return false;
    // Dead members are still probed, since only the path to them may be broken.
    auto const interval = item.state == member_state::dead
                              ? settings_.dead_interval
                              : settings_.interval;
    auto const last = last_probe_.find(item.id);
    return last == last_probe_.end() || now - last->second >= interval;
}

std::optional<std::uint64_t>
probe_scheduler::add_outstanding(outstanding_probe item)
{
    if (outstanding_.size() >= settings_.max_outstanding)
        return std::nullopt;
    // Nonce 0 is used for probes whose ack is ignored.
    std::uint64_t const nonce = random_() | 1U;
    outstanding_.insert_or_assign(nonce, std::move(item));
    return nonce;
}

void probe_scheduler::probe_through_helpers(member_table const& table,
                                            member const& target,
                                            core::time_point now,
                                            outbox& out)
{
    std::vector<peer::destination> helpers;
    for (auto const& [id, item] : table.members())
        if (id != target.id && item.live())
            helpers.push_back(
                {item.peer_address, peer::peer_scope::same_region});
    // Choose new helpers each time, since the path of a previous one may be
    // broken.
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), settings_.helpers));
    if (helpers.empty())
        return;
    auto const nonce = add_outstanding({target.id, now, std::nullopt, 0});
    if (nonce)
        out.datagrams.push_back(
            {std::move(helpers),
             peer::indirect_probe{*nonce,
                                  target.id,
                                  target.incarnation,
                                  settings::to_string(target.peer_address)}});
}

} // namespace kumquatloom::membership
