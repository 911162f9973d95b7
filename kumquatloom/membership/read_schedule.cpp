#include <kumquatloom/membership/read_schedule.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

namespace
{

/// Number of failures after which the retry delay stops growing.
constexpr unsigned max_counted_failures = 8;

} // namespace

read_schedule::read_schedule(read_schedule_settings const& settings)
    : settings_(settings)
{
}

void read_schedule::record_read(core::time_point as_of)
{
    if (!as_of_ || *as_of_ < as_of)
        as_of_ = as_of;
}

void read_schedule::succeeded(core::time_point now)
{
    failures_ = 0;
    last_failure_ = now - settings_.penalty_time;
}

void read_schedule::failed(core::time_point now)
{
    if (failures_++ == 0)
        failing_since_ = now;
    last_failure_ = now;
}

bool read_schedule::is_due(domain_rank const& own_rank,
                           core::time_point now) const
{
    if (failures_ != 0 && now - last_failure_ < retry_delay(own_rank))
        return false;
    if (!as_of_)
        return true;
    bool const has_penalty =
        failures_ != 0 && now - last_failure_ < settings_.penalty_time;
    auto const rank =
        own_rank.rank + (has_penalty ? settings_.penalty_ranks : 0);
    return now - *as_of_ >= read_age(rank, own_rank.size);
}

core::duration read_schedule::read_age(std::size_t rank,
                                       std::size_t instances) const
{
    auto const stepped = std::min(rank, settings_.stepped_ranks);
    core::duration const age = settings_.first_read_age +
                               settings_.rank_step * static_cast<int>(stepped);
    if (rank <= settings_.stepped_ranks)
        return age;
    // Remaining ranks, including the extra ones of instances with a penalty.
    auto const remaining_ranks =
        std::max(instances + settings_.penalty_ranks, rank) -
        settings_.stepped_ranks;
    auto const rank_among_remaining = rank - settings_.stepped_ranks;
    return age + (settings_.max_read_age - age) *
                     static_cast<int>(rank_among_remaining) /
                     static_cast<int>(remaining_ranks);
}

core::duration read_schedule::retry_delay(domain_rank const& own_rank) const
{
    auto const count =
        static_cast<int>(std::min(own_rank.size, settings_.retry_ranks));
    auto const shortest =
        std::max(settings_.min_retry_delay,
                 settings_.min_retry_delay_per_instance * count);
    auto const longest =
        std::max(settings_.max_retry_delay,
                 settings_.max_retry_delay_per_instance * count);
    auto const doublings = std::min(failures_, max_counted_failures) - 1;
    auto const delay =
        std::min<core::duration>(shortest * (1 << doublings), longest);
    // Distributes the retries of instances whose reads began to fail together,
    // so that they do not all call the store at once when it is back, and
    // leaves most retries to the lowest ranks.
    return delay + delay * static_cast<int>(own_rank.rank) / count;
}

} // namespace kumquatloom::membership
