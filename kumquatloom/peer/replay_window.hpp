#ifndef KUMQUATLOOM_PEER_REPLAY_WINDOW_HPP
#define KUMQUATLOOM_PEER_REPLAY_WINDOW_HPP

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace kumquatloom::peer
{

/// Accepts each sequence number of one sender incarnation at most once, in any
/// order within the width of the window.
class replay_window
{
public:
    /// Numbers that may still arrive behind the highest one. A member sends
    /// some 20 datagrams/s, so this tolerates reordering by many seconds.
    static constexpr std::size_t width = 1024;

    /// Whether the number is new; remembers it.
    bool accept(std::uint64_t sequence);

private:
    /// Highest number so far; 0 if there is none.
    std::uint64_t highest_ = 0;
    /// Which of the last numbers were seen, indexed by number modulo width.
    std::bitset<width> seen_;
};

} // namespace kumquatloom::peer

#endif
