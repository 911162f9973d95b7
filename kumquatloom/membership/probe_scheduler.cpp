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
                      return now - entry.second.asked >= settings_.ack_timeout;
                  });
    std::erase_if(last_probe_,
                  [&table](auto const& entry)
                  {
                      return table.find(entry.first) == nullptr;
                  });
    for (auto const& [id, item] : table.members())
    {
        if (!due(item, now))
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
    auto const nonce = remember({target.id, now, std::nullopt, 0});
    if (nonce)
        out.datagrams.push_back(
            {{{target.peer_address, peer::peer_scope::same_region}},
             peer::probe{*nonce, target.id, target.incarnation}});
}

void probe_scheduler::probe_for(peer::indirect_probe const& order,
                                peer::destination const& asker,
                                peer::destination const& target,
                                core::time_point now,
                                outbox& out)
{
    auto const nonce = remember({order.target, now, asker, order.nonce});
    if (nonce)
        out.datagrams.push_back(
            {{target},
             peer::probe{*nonce, order.target, order.target_incarnation}});
}

std::optional<probe_scheduler::confirmation>
probe_scheduler::receive(peer::ack const& answer,
                         core::instance_id const& sender,
                         core::time_point now,
                         outbox& out)
{
    auto const found = outstanding_.find(answer.nonce);
    if (found == outstanding_.end() || found->second.target != answer.subject ||
        now - found->second.asked >= settings_.ack_timeout)
        return std::nullopt;
    auto const& probe = found->second;
    bool const direct = sender == answer.subject;
    if (!probe.asker)
        return confirmation{probe.asked, direct};
    // Only the probed member's own ack is passed on, and only once.
    if (direct)
    {
        peer::ack passed = answer;
        passed.nonce = probe.asker_nonce;
        out.datagrams.push_back({{*probe.asker}, passed});
        outstanding_.erase(found);
    }
    return std::nullopt;
}

bool probe_scheduler::due(member const& item, core::time_point now) const
{
    if (!item.heard() || item.state == member_state::leaving)
        return false;
    auto const patience =
        item.accused ? settings_.accused_probe_after : settings_.probe_after;
    auto const silence = now - item.last_direct;
    if (silence < patience)
        return false;
    // A dead member is still probed: it may live behind a path that is cut.
    auto const interval = item.state == member_state::dead
                              ? settings_.dead_interval
                              : settings_.interval;
    auto const last = last_probe_.find(item.id);
    return last == last_probe_.end() || now - last->second >= interval;
}

std::optional<std::uint64_t> probe_scheduler::remember(outstanding probe)
{
    if (outstanding_.size() >= settings_.max_outstanding)
        return std::nullopt;
    std::uint64_t const nonce = random_() | 1U;
    outstanding_.insert_or_assign(nonce, std::move(probe));
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
    // A fresh random choice each time avoids asking the same helper whose own
    // path is cut.
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), settings_.helpers));
    if (helpers.empty())
        return;
    auto const nonce = remember({target.id, now, std::nullopt, 0});
    if (nonce)
        out.datagrams.push_back(
            {std::move(helpers),
             peer::indirect_probe{*nonce,
                                  target.id,
                                  target.incarnation,
                                  settings::to_string(target.peer_address)}});
}

} // namespace kumquatloom::membership
