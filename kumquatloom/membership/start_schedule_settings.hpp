#ifndef KUMQUATLOOM_MEMBERSHIP_START_SCHEDULE_SETTINGS_HPP
#define KUMQUATLOOM_MEMBERSHIP_START_SCHEDULE_SETTINGS_HPP

#include <chrono>
#include <cstddef>

namespace kumquatloom::membership
{

/// Timing of the first read of the store by an instance that has started.
struct start_schedule_settings
{
    /// Time after the list was read in which neighbours with contents reply to
    /// a hello message. The first read and the snapshots for the others still
    /// end within the time for which an instance waits for replies anyway.
    std::chrono::milliseconds reply_time{15};
    /// Time after which listed instances that have not been heard from are
    /// taken for stopped. Covers the pauses of an instance that has a fraction
    /// of a core.
    std::chrono::milliseconds silent_time{100};
    /// Bounds of the time that a read of the store is expected to take, which
    /// is estimated by the calls that add this instance and list the others.
    std::chrono::milliseconds min_read_time{150};
    std::chrono::milliseconds max_read_time{500};
    /// Time for the message about a read, and for a snapshot.
    std::chrono::milliseconds message_time{50};
    /// Number of ranks that wait a whole read time longer than the one before.
    /// The others share the time up to `max_wait`.
    std::size_t stepped_ranks = 4;
    /// Time after which every instance reads, whatever its rank.
    std::chrono::milliseconds max_wait{3000};
    /// Time after the start at which the wait begins even if the store has not
    /// returned the list of instances.
    std::chrono::milliseconds max_list_time{2000};
    /// Time between two reads of an instance without the list. Long, since it
    /// can't tell others of a read: when the store is back, the list comes
    /// first.
    std::chrono::milliseconds unlisted_retry{5000};
    /// Number of neighbours that are expected to fetch a snapshot at the first
    /// message of an instance that has contents. The others fetch theirs from
    /// one of those.
    std::size_t snapshots_per_message = 16;
    /// Time for which no snapshot is fetched from a neighbour after it could
    /// not be reached: messages may arrive from one that is cut off in the
    /// other direction.
    std::chrono::milliseconds source_retry{3000};
    /// Time after the start from which a snapshot may come from another region,
    /// unless a read of the store has failed before.
    std::chrono::milliseconds region_time{1000};
};

} // namespace kumquatloom::membership

#endif
