#include <kumquatloom/membership/election.hpp>
#include <kumquatloom/membership/relay_election.hpp>

#include <utility>
#include <vector>

namespace kumquatloom::membership
{

relay_election::relay_election(core::instance_id self,
                               core::region const& region)
    : self_(std::move(self))
    , role_("relay " + region.value())
{
}

std::optional<core::instance_id> relay_election::relay(
    member_table const& table, bool self_leaving, core::time_point now) const
{
    std::vector<core::instance_id> candidates;
    if (!self_leaving)
        candidates.push_back(self_);
    for (auto const& [id, item] : table.members())
        if (item.live() && now - item.last_heard <= takeover)
            candidates.push_back(id);
    if (candidates.empty())
        return std::nullopt;
    return rank_candidates(role_, std::move(candidates)).front();
}

} // namespace kumquatloom::membership
