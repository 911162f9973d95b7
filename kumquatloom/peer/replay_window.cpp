#include <kumquatloom/peer/replay_window.hpp>

namespace kumquatloom::peer
{

bool replay_window::accept(std::uint64_t sequence)
{
    // Senders count from 1.
    if (sequence == 0)
        return false;
    if (sequence > highest_)
    {
        // Forget the numbers that fall out of the window.
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
