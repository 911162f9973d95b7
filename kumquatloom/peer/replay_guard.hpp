#ifndef KUMQUATLOOM_PEER_REPLAY_GUARD_HPP
#define KUMQUATLOOM_PEER_REPLAY_GUARD_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/peer/replay_window.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace kumquatloom::peer
{

/// Answer of the replay guard.
enum class replay_verdict : std::uint8_t
{
    accepted,
    replayed,
    too_many_senders
};

/// One replay window for the newest incarnation of each sender. An older
/// incarnation has ended, so its frames count as replayed. The number of
/// senders is bounded: when it is reached, the sender that was silent longest
/// is forgotten, if it was silent for `sender_lifetime`; otherwise the new one
/// is refused.
class replay_guard
{
public:
    /// Silence after which a sender may be forgotten. It is far longer than
    /// any delay in the network, so that old frames cannot be used again.
    static constexpr std::chrono::seconds sender_lifetime{120};

    /// Remembers at most `max_senders` senders.
    explicit replay_guard(std::size_t max_senders);

    /// Checks and remembers one authentic frame.
    replay_verdict accept(core::instance_id const& sender,
                          core::incarnation incarnation,
                          std::uint64_t sequence,
                          core::time_point now);

    /// Number of senders that are remembered.
    std::size_t senders() const
    {
        return senders_.size();
    }

private:
    struct sender_state
    {
        /// Newest process start of the sender.
        core::incarnation incarnation = 0;
        /// Sequence numbers of that incarnation.
        replay_window window;
        /// When a frame was accepted last.
        core::time_point last_accepted;
    };

    bool make_room(core::time_point now);

    /// Bound on the senders.
    std::size_t max_senders_;
    /// What is known about each sender.
    std::unordered_map<core::instance_id, sender_state> senders_;
};

} // namespace kumquatloom::peer

#endif
