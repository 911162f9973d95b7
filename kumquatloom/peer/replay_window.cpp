#include <kumquatloom/peer/replay_window.hpp>

namespace kumquatloom::peer
{

bool replay_window::accept(std::uint64_t sequence)
{
    // Sequence numbers start at 1.
    if (sequence == 0)
        return false;
    if (sequence > highest_)
    {
        // Clear the skipped numbers, whose bits belong to numbers that are now
        // outside the window.
        if (sequence - highest_ >= width)
            seen_.reset();
        else
            for (auto number = highest_ + 1; number < sequence; ++number)
                seen_.reset(number % width);
        highest_ = sequence;
        seen_.set(sequence % width);
        return true;
    }
    if (highest_ - sequence >= width || seen_.test(sequence % width))
        return false;
    seen_.set(sequence % width);
    return true;
}

} // namespace kumquatloom::peer
