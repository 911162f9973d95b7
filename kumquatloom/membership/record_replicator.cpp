#include <kumquatloom/membership/record_replicator.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

record_replicator::record_replicator(record_replicator_settings settings,
                                     core::failure_domain own_domain,
                                     std::uint64_t seed)
    : settings_(settings)
    , own_domain_(std::move(own_domain))
    , random_(seed)
{
}

void record_replicator::push(member_table const& table,
                             local_state const& local,
                             outbox& out)
{
    for (auto const& [id, item] : table.members())
    {
        // Suspect and leaving members may still serve, so they get the records
        // too.
        bool const reachable = item.heard() && item.state != member_state::dead;
        if (reachable && item.state_offset < local.state_offset)
            out.pushes.push_back(
                {id,
                 {item.peer_address, peer::peer_scope::same_region},
                 item.state_offset + 1});
    }
}

void record_replicator::tick(member_table const& table,
                             local_state const& local,
                             core::time_point now,
                             outbox& out)
{
    if (pending_request_ && now - pending_request_->sent >= settings_.timeout)
        pending_request_.reset();
    std::vector<member const*> ahead;
    for (auto const& entry : table.members())
        if (entry.second.live() &&
            entry.second.state_offset > local.state_offset)
            ahead.push_back(&entry.second);
    if (ahead.empty())
    {
        behind_since_.reset();
        return;
    }
    if (!behind_since_)
        behind_since_ = now;
    if (pending_request_ || now - *behind_since_ < settings_.grace)
        return;
    // A random choice distributes the load and avoids repeating a choice that
    // failed.
    std::shuffle(ahead.begin(), ahead.end(), random_);
    auto const best =
        std::min_element(ahead.begin(),
                         ahead.end(),
                         [this](member const* left, member const* right)
                         {
                             return (left->failure_domain == own_domain_) >
                                    (right->failure_domain == own_domain_);
                         });
    member const& chosen = **best;
    send_request(chosen.id,
                 {chosen.peer_address, peer::peer_scope::same_region},
                 local,
                 now,
                 out);
}

void record_replicator::request_from(core::instance_id const& peer,
                                     peer::destination const& to,
                                     local_state const& local,
                                     core::time_point now,
                                     outbox& out)
{
    if (!pending_request_)
        send_request(peer, to, local, now, out);
}

std::optional<core::time_point>
record_replicator::complete_request(std::uint64_t nonce)
{
    if (!pending_request_ || pending_request_->nonce != nonce)
        return std::nullopt;
    auto const sent = pending_request_->sent;
    pending_request_.reset();
    return sent;
}

void record_replicator::fail_request(std::uint64_t nonce)
{
    if (pending_request_ && pending_request_->nonce == nonce)
        pending_request_.reset();
}

void record_replicator::send_request(core::instance_id const& peer,
                                     peer::destination const& to,
                                     local_state const& local,
                                     core::time_point now,
                                     outbox& out)
{
    // Nonce 0 marks a push, so a request must not use it.
    std::uint64_t const nonce = random_() | 1U;
    pending_request_ = request{nonce, now};
    out.syncs.push_back(
        {peer, to, peer::sync_request{nonce, local.state_offset + 1, 0, 0}});
}

} // namespace kumquatloom::membership
