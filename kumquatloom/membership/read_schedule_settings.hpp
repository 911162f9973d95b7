#ifndef KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_READ_SCHEDULE_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// When an instance reads the store itself.
struct read_schedule_settings
{
    /// Age of its knowledge at which the first in rank reads. With the read
    /// itself and the way to the others it stays well below the two seconds
    /// within which a change must be in force.
    std::chrono::milliseconds period{700};
    /// How much older it must be for each further rank: longer than a read
    /// and the message about it take, so that only one instance reads.
    std::chrono::milliseconds step{150};
    /// Bound of the sum, whatever the rank: everybody who can reads before
    /// the two seconds are over.
    std::chrono::milliseconds limit{1300};
    /// An instance whose last read failed steps back behind this many others,
    /// for `penalty_time`: the store may refuse it and serve its neighbours.
    std::size_t penalty_ranks = 3;
    std::chrono::milliseconds penalty_time{3000};
    /// Pause after a failed read; doubles up to `longest_pause`.
    std::chrono::milliseconds shortest_pause{150};
    std::chrono::milliseconds longest_pause{600};
};

} // namespace kumquatloom::membership

#endif
