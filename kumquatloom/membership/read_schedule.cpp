#include <kumquatloom/membership/read_schedule.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

namespace
{

/// Doublings of the pause after which it no longer grows.
constexpr unsigned max_doublings = 8;

} // namespace

read_schedule::read_schedule(read_schedule_settings const& settings)
    : settings_(settings)
{
}

void read_schedule::know(core::time_point as_of)
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

bool read_schedule::due(domain_rank const& place, core::time_point now) const
{
    if (failures_ != 0 && now - last_failure_ < pause(place))
        return false;
    if (!as_of_)
        return true;
    bool const refused =
        failures_ != 0 && now - last_failure_ < settings_.penalty_time;
    auto const rank = place.rank + (refused ? settings_.penalty_ranks : 0);
    return now - *as_of_ >= age_for(rank, place.size);
}

core::duration read_schedule::age_for(std::size_t rank,
                                      std::size_t instances) const
{
    auto const stepped = std::min(rank, settings_.stepped_ranks);
    core::duration const age =
        settings_.period + settings_.step * static_cast<int>(stepped);
    if (rank <= settings_.stepped_ranks)
        return age;
    // The rest of the domain, those that step back included.
    auto const others = std::max(instances + settings_.penalty_ranks, rank) -
                        settings_.stepped_ranks;
    auto const place = rank - settings_.stepped_ranks;
    return age + (settings_.limit - age) * static_cast<int>(place) /
                     static_cast<int>(others);
}

core::duration read_schedule::pause(domain_rank const& place) const
{
    auto const count =
        static_cast<int>(std::min(place.size, settings_.trying_ranks));
    auto const shortest = std::max(settings_.shortest_pause,
                                   settings_.shortest_pause_each * count);
    auto const longest =
        std::max(settings_.longest_pause, settings_.longest_pause_each * count);
    auto const doublings = std::min(failures_, max_doublings) - 1;
    auto const usual =
        std::min<core::duration>(shortest * (1 << doublings), longest);
    // Spreads instances whose reads began to fail together, and leaves most
    // tries to the first in rank.
    return usual + usual * static_cast<int>(place.rank) / count;
}

} // namespace kumquatloom::membership
