#include <kumquatloom/limits/connection_shedding.hpp>

#include <algorithm>
#include <chrono>

namespace kumquatloom::limits
{

namespace
{

/// Above every time without progress, in milliseconds: a connection lives for
/// less than 35 years.
constexpr std::uint64_t never_served_gain = std::uint64_t{1} << 40U;
constexpr std::uint64_t kibibyte = 1024;

core::duration stall(connection_activity const& activity, core::time_point now)
{
    return std::max(now - activity.progressed_at, core::duration::zero());
}

std::uint64_t to_milliseconds(core::duration time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

std::uint64_t connection_gain(connection_activity const& activity,
                              core::time_point now,
                              shedding_settings const& settings)
{
    auto const time = stall(activity, now);
    bool const waits_for_caller = activity.phase == connection_phase::idle ||
                                  activity.phase == connection_phase::reading;
    if (!waits_for_caller)
        return 0;
    if (!activity.has_served)
        return never_served_gain + to_milliseconds(time);
    bool const is_unused =
        activity.phase == connection_phase::idle && time > settings.reuse_time;
    return is_unused ? to_milliseconds(time) : 0;
}

std::uint64_t memory_gain(connection_activity const& activity,
                          message_kind kind,
                          core::time_point now,
                          shedding_settings const& settings)
{
    auto const time = stall(activity, now);
    bool const waits_for_caller = activity.phase == connection_phase::reading ||
                                  activity.phase == connection_phase::writing;
    if (!waits_for_caller || time < settings.min_stall)
        return 0;
    // In KiB, so that the product fits for all sizes and times.
    auto const held = kind == message_kind::request ? activity.request_bytes
                                                    : activity.response_bytes;
    return held / kibibyte * to_milliseconds(time);
}

} // namespace kumquatloom::limits
