#ifndef KUMQUATLOOM_LIMITS_SHORTAGE_STATE_HPP
#define KUMQUATLOOM_LIMITS_SHORTAGE_STATE_HPP

#include <kumquatloom/core/clock.hpp>

#include <cstddef>

namespace kumquatloom::limits
{

/// Change of a queue between having room and being short of it.
enum class shortage_change
{
    none,
    began,
    ended
};

/// Tells when a queue begins and ceases to be short of room. Not thread-safe.
class shortage_state
{
public:
    /// Counts a request that was refused for lack of room.
    shortage_change record_refusal(core::time_point now);

    /// To be called now and then with the number of waiting requests.
    shortage_change update(std::size_t waiting, core::time_point now);

    /// Whether the queue is short of room.
    bool is_short() const
    {
        return is_short_;
    }

    /// Time from the first refusal to the last one of the current or the last
    /// shortage.
    core::duration duration() const
    {
        return last_ - began_;
    }

    /// Requests refused in the current or the last shortage.
    std::size_t refused() const
    {
        return refused_;
    }

private:
    bool is_short_ = false;
    core::time_point began_;
    core::time_point last_;
    std::size_t refused_ = 0;
};

} // namespace kumquatloom::limits

#endif
