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

/// Result of the replay check of a frame.
enum class replay_verdict : std::uint8_t
{
    accepted,
    replayed,
    too_many_senders
};

/// Rejects replayed frames with one replay window for the newest incarnation of
/// each sender. An older incarnation has ended, so its frames count as
/// replayed. The number of senders is bounded. When the bound is reached, a new
/// sender replaces the known sender whose last accepted frame is oldest if that
/// frame is at least `sender_lifetime` old; otherwise the new sender is
/// rejected.
class replay_guard
{
public:
    /// Time without accepted frames after which a sender's window may be
    /// discarded. It is far longer than any network delay, so that no delayed
    /// frame of the sender is mistaken for a new one.
    static constexpr std::chrono::seconds sender_lifetime{120};

    /// Keeps replay windows for at most `max_senders` senders.
    explicit replay_guard(std::size_t max_senders);

    /// Checks an authenticated frame and records its sequence number if it is
    /// accepted.
    replay_verdict accept(core::instance_id const& sender,
                          core::incarnation incarnation,
                          std::uint64_t sequence,
                          core::time_point now);

    /// Number of senders with a replay window.
    std::size_t senders() const
    {
        return senders_.size();
    }

private:
    struct sender_state
    {
        /// Newest incarnation of the sender.
        core::incarnation incarnation = 0;
        /// Replay window of that incarnation.
        replay_window window;
        /// Time of the last accepted frame.
        core::time_point last_accepted;
    };

    bool make_room(core::time_point now);

    /// Maximum number of senders.
    std::size_t max_senders_;
    /// State of each sender.
    std::unordered_map<core::instance_id, sender_state> senders_;
};

} // namespace kumquatloom::peer

#endif
