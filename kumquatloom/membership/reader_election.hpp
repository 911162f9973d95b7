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
};

/// Decides which members of a region read the log.
class reader_election
{
public:
    /// Decides for the instance `self` in a region.
    reader_election(reader_election_settings settings,
                    core::instance_id self,
                    core::region const& region);

    /// The readers, the first one being the one that pushes new records. A
    /// member that could not read the log comes after all others. A leaving
    /// instance is no candidate.
    std::vector<core::instance_id> readers(member_table const& table,
                                           bool self_log_readable,
                                           bool self_leaving,
                                           core::time_point now) const;

private:
    /// Number of readers and times.
    reader_election_settings settings_;
    /// This instance.
    core::instance_id self_;
    /// Key of the rendezvous hash.
    std::string role_;
};

} // namespace kumquatloom::membership

#endif
