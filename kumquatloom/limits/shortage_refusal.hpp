#ifndef KUMQUATLOOM_LIMITS_SHORTAGE_REFUSAL_HPP
#define KUMQUATLOOM_LIMITS_SHORTAGE_REFUSAL_HPP

#include <string_view>

namespace kumquatloom::limits
{

/// Why a cost-aware request was refused for lack of room.
enum class shortage_refusal
{
    /// On arrival: it can't end within its time limit.
    no_time,
    /// On arrival: it can't meet its target, and more requests than there is
    /// room for are waiting.
    target_out_of_reach,
    /// On arrival: other instances need the room for a higher priority.
    admission_level,
    /// On arrival: the queue is full and its refusal costs least.
    queue_full,
    /// While waiting: the queue was full and its refusal cost least.
    evicted,
    /// While waiting: the room shrank, so that it can't end within its time
    /// limit.
    room_shrank,
    /// All upstreams are paused for longer than it can wait.
    paused,
    /// After attempts that upstreams refused without running it.
    attempts_refused,
    count
};

/// The value of the metric label.
std::string_view to_string(shortage_refusal value);

} // namespace kumquatloom::limits

#endif
