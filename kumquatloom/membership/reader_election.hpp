#ifndef KUMQUATLOOM_MEMBERSHIP_READER_ELECTION_HPP
#define KUMQUATLOOM_MEMBERSHIP_READER_ELECTION_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/membership/member_table.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace kumquatloom::membership
{

/// Settings of the reader election.
struct reader_election_settings
{
    /// Members of a region that read the log.
    unsigned readers_per_region = 1;
    /// Silence after which the next member takes over.
    std::chrono::milliseconds takeover{1000};
    /// Age of the freshest known state after which one more member reads, and
    /// again after each further such time. A reader that is live but cannot
    /// reach the log is found by this alone. A long poll must be shorter.
    std::chrono::milliseconds stale_after{1500};
    /// Most members that read in addition, so that an outage of the log does
    /// not make every member read it.
    unsigned max_extra_readers = 3;
};

/// Decides which members of a region read the log.
class reader_election
{
public:
    /// Decides for the instance `self` in a region.
    reader_election(reader_election_settings settings,
                    core::instance_id self,
                    core::region const& region);

    /// The readers, the first one being the one that pushes new records.
    /// `own_fresh_as_of` is the freshness of this instance; a leaving instance
    /// is no candidate.
    std::vector<core::instance_id> readers(member_table const& table,
                                           core::time_point own_fresh_as_of,
                                           bool self_leaving,
                                           core::time_point now) const;

private:
    unsigned extra_readers(member_table const& table,
                           core::time_point own_fresh_as_of,
                           core::time_point now) const;

    /// Number of readers and times.
    reader_election_settings settings_;
    /// This instance.
    core::instance_id self_;
    /// Key of the rendezvous hash.
    std::string role_;
};

} // namespace kumquatloom::membership

#endif
