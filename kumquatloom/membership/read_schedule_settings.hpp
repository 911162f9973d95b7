#ifndef KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// When an instance reads the store itself. The times stand for a store whose
/// changes must be in force within two seconds; see for_change_delay().
struct read_schedule_settings
{
    /// Age of its knowledge at which the first in rank reads. With the read
    /// itself and the way to the others it stays well below the two seconds.
    std::chrono::milliseconds period{700};
    /// How much older it must be for each of the next ranks: longer than a
    /// read and the message about it take, so that only one instance reads.
    std::chrono::milliseconds step{150};
    /// Ranks that wait for a whole step each. Those behind them share the time
    /// to the limit, so that a large domain does not read all at once.
    std::size_t stepped_ranks = 3;
    /// Age at which everybody who can reads, whatever the rank.
    std::chrono::milliseconds limit{1500};
    /// An instance whose last read failed steps back behind this many others,
    /// for `penalty_time`: the store may refuse it and serve its neighbours.
    std::size_t penalty_ranks = 3;
    std::chrono::milliseconds penalty_time{3000};
    /// Pause after a failed read; doubles up to `longest_pause`. In a large
    /// domain both grow, so that all its instances together make no more calls
    /// to a store that is down than a small domain does.
    std::chrono::milliseconds shortest_pause{150};
    std::chrono::milliseconds longest_pause{600};
    std::chrono::milliseconds shortest_pause_each{20};
    std::chrono::milliseconds longest_pause_each{100};
    /// Instances for which the pauses grow. Those behind them in rank wait
    /// several times as long.
    std::size_t trying_ranks = 25;

    /// The settings for changes that must be in force within `bound`.
    static read_schedule_settings
    for_change_delay(std::chrono::milliseconds bound)
    {
        constexpr std::chrono::milliseconds usual_bound{2000};
        read_schedule_settings result;
        for (auto* const time : {&result.period, &result.step, &result.limit})
            *time = *time * bound.count() / usual_bound.count();
        return result;
    }
};

} // namespace kumquatloom::membership

#endif
