#include <kumquatloom/membership/start_schedule.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

start_schedule::start_schedule(start_schedule_settings const& settings,
                               core::time_point started)
    : settings_(settings)
    , started_(started)
    , read_time_(settings.min_read_time)
{
}

void start_schedule::record_list(core::duration took, core::time_point now)
{
    if (listed_at_)
        return;
    listed_at_ = now;
    read_time_ = std::clamp<core::duration>(
        took, settings_.min_read_time, settings_.max_read_time);
}

void start_schedule::failed(core::time_point now)
{
    last_failure_ = now;
}

bool start_schedule::counts_silent(core::time_point now) const
{
    return now - wait_began() < settings_.silent_time;
}

bool start_schedule::is_due(domain_rank const& own_rank,
                            bool is_fetching,
                            core::time_point now) const
{
    if (!listed_at_ && last_failure_ &&
        now - *last_failure_ < settings_.unlisted_retry)
        return false;
    auto const waited = now - wait_began();
    if (is_fetching && waited < settings_.max_wait)
        return false;
    return waited >= wait_of(own_rank);
}

void start_schedule::fetch_failed(std::string const& host, core::time_point now)
{
    failed_fetches_.insert_or_assign(host, now);
}

bool start_schedule::takes_snapshot(std::string const& host,
                                    std::size_t receivers,
                                    double draw,
                                    core::time_point now) const
{
    auto const failed = failed_fetches_.find(host);
    if (failed != failed_fetches_.end() &&
        now - failed->second < settings_.source_retry)
        return false;
    return draw * static_cast<double>(receivers) <
           static_cast<double>(settings_.snapshots_per_message);
}

bool start_schedule::may_leave_region(core::time_point now) const
{
    return now - started_ >= settings_.region_time;
}

core::time_point start_schedule::wait_began() const
{
    return listed_at_.value_or(started_ + settings_.max_list_time);
}

core::duration start_schedule::wait_of(domain_rank const& own_rank) const
{
    if (own_rank.rank == 0)
        return own_rank.size > 1 ? settings_.reply_time
                                 : std::chrono::milliseconds::zero();
    auto const stepped = std::min(own_rank.rank, settings_.stepped_ranks);
    auto const wait =
        read_time_ * static_cast<int>(stepped + 1) + settings_.message_time;
    if (own_rank.rank <= settings_.stepped_ranks)
        return wait;
    auto const remaining =
        std::max(own_rank.size, own_rank.rank + 1) - settings_.stepped_ranks;
    return wait +
           (settings_.max_wait - wait) *
               static_cast<int>(own_rank.rank - settings_.stepped_ranks) /
               static_cast<int>(remaining);
}

} // namespace kumquatloom::membership
