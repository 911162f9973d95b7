#ifndef KUMQUATLOOM_MEMBERSHIP_START_SCHEDULE_HPP
#define KUMQUATLOOM_MEMBERSHIP_START_SCHEDULE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/membership/domain_rank.hpp>
#include <kumquatloom/membership/start_schedule_settings.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace kumquatloom::membership
{

/// Decides when an instance without contents reads the whole store, so that
/// about one of those in a failure domain that start together does: by rank in
/// the order of addresses, each later than those before it take to report.
class start_schedule
{
public:
    /// `started` is the start time of the instance.
    start_schedule(start_schedule_settings const& settings,
                   core::time_point started);

    /// Records that the list of instances was read. That and the call before it
    /// took `took`. Only the first time counts.
    void record_list(core::duration took, core::time_point now);

    /// Records that a read of the store has failed.
    void failed(core::time_point now);

    /// Whether listed instances that have not been heard from count for the
    /// rank.
    bool counts_silent(core::time_point now) const;

    /// Whether an instance with this rank should read the store now.
    /// `is_fetching` states that a neighbour's snapshot is being fetched.
    bool is_due(domain_rank const& own_rank,
                bool is_fetching,
                core::time_point now) const;

    /// Records that a snapshot could not be fetched from a neighbour.
    void fetch_failed(std::string const& host, core::time_point now);

    /// Whether to fetch a snapshot from the sender of a message, which this
    /// number of live instances have received. `draw` is a random number of at
    /// least 0 and below 1.
    bool takes_snapshot(std::string const& host,
                        std::size_t receivers,
                        double draw,
                        core::time_point now) const;

    /// Whether a snapshot may come from another region.
    bool may_leave_region(core::time_point now) const;

private:
    core::time_point wait_began() const;
    core::duration wait_of(domain_rank const& own_rank) const;

    start_schedule_settings settings_;
    core::time_point started_;
    /// Time at which the list of instances was read.
    std::optional<core::time_point> listed_at_;
    /// Time of the last failed read.
    std::optional<core::time_point> last_failure_;
    /// Times at which fetches from neighbours failed.
    std::map<std::string, core::time_point> failed_fetches_;
    /// Expected duration of a read of the store.
    core::duration read_time_;
};

} // namespace kumquatloom::membership

#endif
