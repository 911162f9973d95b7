#ifndef KUMQUATLOOM_MEMBERSHIP_ELECTION_HPP
#define KUMQUATLOOM_MEMBERSHIP_ELECTION_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace kumquatloom::membership
{

/// Ranks candidates for a role by rendezvous hash, the owner first. Every
/// instance that sees the same candidates gets the same ranking, and the loss
/// of one candidate only moves up those behind it.
std::vector<core::instance_id>
rank_candidates(std::string_view role,
                std::vector<core::instance_id> candidates);

/// Position of an instance in a ranking, or the ranking's size.
std::size_t rank_of(core::instance_id const& id,
                    std::vector<core::instance_id> const& ranking);

} // namespace kumquatloom::membership

#endif
