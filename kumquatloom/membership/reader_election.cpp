#include <kumquatloom/membership/election.hpp>
#include <kumquatloom/membership/reader_election.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

reader_election::reader_election(reader_election_settings settings,
                                 core::instance_id self,
                                 core::region const& region)
    : settings_(settings)
    , self_(std::move(self))
    , role_("reader " + region.value())
{
}

std::vector<core::instance_id>
reader_election::readers(member_table const& table,
                         bool self_log_readable,
                         bool self_leaving,
                         core::time_point now) const
{
    std::vector<core::instance_id> able;
    std::vector<core::instance_id> unable;
    if (!self_leaving)
        (self_log_readable ? able : unable).push_back(self_);
    for (auto const& [id, item] : table.members())
        if (item.live() && now - item.last_heard <= settings_.takeover)
            (item.log_readable ? able : unable).push_back(id);
    auto ranking = rank_candidates(role_, std::move(able));
    // During a log outage all members become unable to read; some still have to
    // retry.
    auto const unable_ranking = rank_candidates(role_, std::move(unable));
    ranking.insert(ranking.end(), unable_ranking.begin(), unable_ranking.end());
    ranking.resize(
        std::min<std::size_t>(ranking.size(), settings_.readers_per_region));
    return ranking;
}

} // namespace kumquatloom::membership
