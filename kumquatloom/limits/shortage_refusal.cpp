#include <kumquatloom/limits/shortage_refusal.hpp>

namespace kumquatloom::limits
{

std::string_view to_string(shortage_refusal value)
{
    switch (value)
    {
    case shortage_refusal::no_time:
        return "no-time";
    case shortage_refusal::target_out_of_reach:
        return "target-out-of-reach";
    case shortage_refusal::admission_level:
        return "admission-level";
    case shortage_refusal::queue_full:
        return "queue-full";
    case shortage_refusal::evicted:
        return "evicted";
    case shortage_refusal::room_shrank:
        return "room-shrank";
    case shortage_refusal::paused:
        return "paused";
    case shortage_refusal::attempts_refused:
        return "attempts-refused";
    case shortage_refusal::count:
        break;
    }
    return {};
}

} // namespace kumquatloom::limits
