#ifndef KUMQUATLOOM_PEER_REPLAY_WINDOW_HPP
#define KUMQUATLOOM_PEER_REPLAY_WINDOW_HPP

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::peer
{

/// Sliding window that accepts each sequence number of one sender incarnation
/// at most once, in any order within the width of the window.
class replay_window
{
public:
    /// Number of sequence numbers that are tracked, counted back from the
    /// highest one. A member sends about 20 datagrams/s, so the window
    /// tolerates reordering by many seconds.
    static constexpr std::size_t width = 1024;

    /// Returns whether the sequence number is new, and records it.
    bool accept(std::uint64_t sequence);

private:
    /// Highest sequence number so far; 0 if there is none.
    std::uint64_t highest_ = 0;
    /// Sequence numbers received within the window, indexed modulo `width`.
    std::bitset<width> seen_;
};

} // namespace kumquatloom::peer

#endif
