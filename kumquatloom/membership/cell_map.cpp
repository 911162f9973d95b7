#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/membership/cell_map.hpp>
#include <kumquatloom/membership/election.hpp>

#include <boost/assert.hpp>

#include <algorithm>
#include <utility>

namespace kumquatloom::membership
{

cell_map::cell_map(std::vector<core::instance_id> members)
{
    // A region stays in one cell up to `max_members`, so that the extra members
    // that it has while a few are replaced do not split a cell of
    // `target_members`.
    if (members.size() > max_members)
        cells_.resize((members.size() + target_members - 1) / target_members);
    // Members are assigned in ranking order, which is the same on every
    // instance, so that all agree on which members a full cell rejects.
    for (auto& id : rank_candidates("cell", std::move(members)))
    {
        auto const cell = best_cell(id.value(), true);
        cell_of_[id] = cell;
        cells_[cell].push_back(std::move(id));
    }
}

std::optional<cell_map::cell_index>
cell_map::cell_of(core::instance_id const& id) const
{
    auto const found = cell_of_.find(id);
    if (found == cell_of_.end())
        return std::nullopt;
    return found->second;
}

cell_map::cell_index cell_map::cell_of(core::service_name const& service) const
{
    return best_cell("service " + service.value(), false);
}

std::vector<core::instance_id> const&
cell_map::members_of(cell_index cell) const
{
    BOOST_ASSERT(cell < cells_.size());
    return cells_[cell];
}

cell_map::cell_index cell_map::best_cell(std::string const& key,
                                         bool with_room) const
{
    std::size_t best = cells_.size();
    std::uint64_t best_score = 0;
    for (std::size_t cell = 0; cell < cells_.size(); ++cell)
    {
        if (with_room && cells_[cell].size() >= max_members)
            continue;
        auto const score = core::rendezvous_score(key, std::to_string(cell));
        if (best == cells_.size() || score > best_score)
        {
            best = cell;
            best_score = score;
        }
    }
    // A single cell gets at most `max_members` members, and several cells get
    // `target_members` on average at most, so one cell always has room.
    BOOST_ASSERT(best < cells_.size());
    return static_cast<cell_index>(best);
}

} // namespace kumquatloom::membership
