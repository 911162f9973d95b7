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
                         core::time_point own_fresh_as_of,
                         bool self_leaving,
                         core::time_point now) const
{
    std::vector<core::instance_id> candidates;
    if (!self_leaving)
        candidates.push_back(self_);
    for (auto const& [id, item] : table.members())
        if (item.live() && now - item.last_heard <= settings_.takeover)
            candidates.push_back(id);
    auto ranking = rank_candidates(role_, std::move(candidates));
    std::size_t const wanted = settings_.readers_per_region +
                               extra_readers(table, own_fresh_as_of, now);
    ranking.resize(std::min(ranking.size(), wanted));
    return ranking;
}

unsigned reader_election::extra_readers(member_table const& table,
                                        core::time_point own_fresh_as_of,
                                        core::time_point now) const
{
    auto freshest = own_fresh_as_of;
    for (auto const& entry : table.members())
        if (entry.second.live())
            freshest = std::max(freshest, entry.second.fresh_as_of);
    // Before the first read every age is huge, and all numbers stay bounded.
    auto const steps = (now - freshest) / settings_.stale_after;
    return static_cast<unsigned>(
        std::clamp<core::duration::rep>(steps, 0, settings_.max_extra_readers));
}

} // namespace kumquatloom::membership
