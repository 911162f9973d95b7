#ifndef KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_SETTINGS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// Timing of reads of the store by an instance. The defaults fit a store whose
/// changes must be in force within two seconds; see for_change_delay().
struct read_schedule_settings
{
    /// Age of the data at which the lowest rank reads. The read and the
    /// messages to the others must complete well within the two seconds.
    std::chrono::milliseconds first_read_age{700};
    /// Additional age for each of the next ranks. Longer than a read and the
    /// message about it take, so that only one instance reads.
    std::chrono::milliseconds rank_step{150};
    /// Number of ranks that get a whole step each. The others share the time up
    /// to the limit, so that a large domain does not read all at once.
    std::size_t stepped_ranks = 3;
    /// Age at which every instance reads, whatever its rank, unless it waits
    /// after a failed read.
    std::chrono::milliseconds max_read_age{1500};
    /// For `penalty_time` after a failed read, unless a later one succeeds, the
    /// rank is increased by this number: the store may refuse only this
    /// instance.
    std::size_t penalty_ranks = 3;
    std::chrono::milliseconds penalty_time{3000};
    /// Delay after a failed read, which doubles up to `max_retry_delay`. Both
    /// grow with the size of the domain, so that all instances of a large
    /// domain together make no more calls to a failing store than a small
    /// domain does.
    std::chrono::milliseconds min_retry_delay{150};
    std::chrono::milliseconds max_retry_delay{600};
    std::chrono::milliseconds min_retry_delay_per_instance{20};
    std::chrono::milliseconds max_retry_delay_per_instance{100};
    /// Maximum domain size for which the delays grow. An instance whose rank is
    /// at least this number waits two or more times the delay.
    std::size_t retry_ranks = 25;

    /// Time that a read takes, and the message about it.
    std::chrono::milliseconds read_allowance{500};

    /// Longest time between two reads of a store that is available.
    std::chrono::milliseconds max_read_gap() const
    {
        return max_read_age + read_allowance;
    }

    /// Settings for changes that must be in force within `bound`.
    static read_schedule_settings
    for_change_delay(std::chrono::milliseconds bound)
    {
        constexpr std::chrono::milliseconds default_bound{2000};
        // A longer time between reads could not be told from an outage of the
        // store in which leases expire.
        constexpr std::chrono::milliseconds max_bound{3000};
        bound = std::min(bound, max_bound);
        read_schedule_settings result;
        for (auto* const duration :
             {&result.first_read_age, &result.rank_step, &result.max_read_age})
            *duration = *duration * bound.count() / default_bound.count();
        return result;
    }
};

} // namespace kumquatloom::membership

#endif
