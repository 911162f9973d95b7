#include <kumquatloom/peer/replay_guard.hpp>

#include <algorithm>

namespace kumquatloom::peer
{

replay_guard::replay_guard(std::size_t max_senders)
    : max_senders_(max_senders)
{
}

replay_verdict replay_guard::accept(core::instance_id const& sender,
                                    core::incarnation incarnation,
                                    std::uint64_t sequence,
                                    core::time_point now)
{
    auto found = senders_.find(sender);
    if (found == senders_.end())
    {
        if (!make_room(now))
            return replay_verdict::too_many_senders;
        found = senders_.emplace(sender, sender_state()).first;
        found->second.incarnation = incarnation;
    }
    auto& state = found->second;
    if (incarnation < state.incarnation)
        return replay_verdict::replayed;
    // A restarted sender starts with sequence number 1 again.
    if (incarnation > state.incarnation)
    {
        state.incarnation = incarnation;
        state.window = replay_window();
    }
    if (!state.window.accept(sequence))
        return replay_verdict::replayed;
    state.last_accepted = now;
    return replay_verdict::accepted;
}

bool replay_guard::make_room(core::time_point now)
{
    if (senders_.size() < max_senders_)
        return true;
    auto const oldest = std::min_element(senders_.begin(),
                                         senders_.end(),
                                         [](auto const& left, auto const& right)
                                         {
                                             return left.second.last_accepted <
                                                    right.second.last_accepted;
                                         });
    if (oldest == senders_.end() ||
        now - oldest->second.last_accepted < sender_lifetime)
        return false;
    senders_.erase(oldest);
    return true;
}

} // namespace kumquatloom::peer
