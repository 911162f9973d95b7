#include <kumquatloom/limits/shortage_control.hpp>

namespace kumquatloom::limits
{

namespace
{

/// Requests that may wait although they are expected to miss their target. With
/// none, slots of an instance with little traffic could stay free.
constexpr std::size_t min_waiting = 1;
constexpr int shortest_wait_percent = 60;

} // namespace

std::optional<shortage_refusal>
shortage_control::on_arrival(start_times const& times,
                             std::size_t ahead,
                             priority value,
                             std::size_t in_flight,
                             core::time_point now) const
{
    if (now > times.last)
        return shortage_refusal::no_time;
    if (ahead == 0)
        return std::nullopt;
    auto const start = now + expected_wait(ahead, value, in_flight, now);
    if (start > times.last)
        return shortage_refusal::no_time;
    if (ahead > min_waiting && now <= times.on_time && start > times.on_time)
        return shortage_refusal::target_out_of_reach;
    return std::nullopt;
}

std::optional<core::duration>
shortage_control::shortest_wait(std::size_t ahead,
                                priority value,
                                std::size_t in_flight,
                                core::time_point now) const
{
    auto const expected =
        room.wait(ahead, value, in_flight, work.times(now).typical, now);
    if (!expected)
        return std::nullopt;
    return *expected * shortest_wait_percent / 100;
}

core::duration shortage_control::expected_wait(std::size_t ahead,
                                               priority value,
                                               std::size_t in_flight,
                                               core::time_point now) const
{
    return room.wait(ahead, value, in_flight, work.times(now).typical, now)
        .value_or(core::duration::zero());
}

} // namespace kumquatloom::limits
