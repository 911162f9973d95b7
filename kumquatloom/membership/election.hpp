#ifndef KUMQUATLOOM_MEMBERSHIP_ELECTION_HPP
#define KUMQUATLOOM_MEMBERSHIP_ELECTION_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace kumquatloom::membership
{

/// Ranks the candidates for a role by rendezvous hash; the first one gets the
/// role. The ranking depends only on the set of candidates, and removing a
/// candidate does not reorder the others.
std::vector<core::instance_id>
rank_candidates(std::string_view role,
                std::vector<core::instance_id> candidates);

/// Position of an instance in a ranking; the size of the ranking if it is not
/// in it.
std::size_t rank_of(core::instance_id const& id,
                    std::vector<core::instance_id> const& ranking);

} // namespace kumquatloom::membership

#endif
