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

struct reader_election_settings
{
    /// Number of members of a cell that read the log. A region of several cells
    /// has this number in each cell.
    unsigned readers_per_region = 1;
    /// Silence of a reader after which the next member takes over.
    std::chrono::milliseconds takeover{1000};
};

/// Elects the members of a cell that read the log.
class reader_election
{
public:
    /// `self` is the instance that evaluates the election.
    reader_election(reader_election_settings settings,
                    core::instance_id self,
                    core::region const& region);

    /// The elected readers; the first one pushes new records. Members that
    /// could not read the log are ranked after all others. A leaving instance
    /// is not eligible.
    std::vector<core::instance_id> readers(member_table const& table,
                                           bool self_log_readable,
                                           bool self_leaving,
                                           core::time_point now) const;

private:
    reader_election_settings settings_;
    core::instance_id self_;
    /// Key of the rendezvous hash.
    std::string role_;
};

} // namespace kumquatloom::membership

#endif
