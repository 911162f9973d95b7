#include <kumquatloom/core/hashing.hpp>
#include <kumquatloom/membership/election.hpp>

#include <algorithm>

namespace kumquatloom::membership
{

std::vector<core::instance_id>
rank_candidates(std::string_view role,
                std::vector<core::instance_id> candidates)
{
    std::sort(candidates.begin(),
              candidates.end(),
              [role](auto const& left, auto const& right)
              {
                  auto const left_score =
                      core::rendezvous_score(role, left.value());
                  auto const right_score =
                      core::rendezvous_score(role, right.value());
                  // Ties are broken by id.
                  return left_score != right_score ? left_score > right_score
                                                   : left < right;
              });
    return candidates;
}

std::size_t rank_of(core::instance_id const& id,
                    std::vector<core::instance_id> const& ranking)
{
    return static_cast<std::size_t>(
        std::find(ranking.begin(), ranking.end(), id) - ranking.begin());
}

} // namespace kumquatloom::membership
