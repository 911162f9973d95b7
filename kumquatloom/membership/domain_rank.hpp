#ifndef KUMQUATLOOM_MEMBERSHIP_DOMAIN_RANK_HPP
#define KUMQUATLOOM_MEMBERSHIP_DOMAIN_RANK_HPP

#include <cstddef>

namespace kumquatloom::membership
{

/// Rank of an instance among the live instances of its failure domain.
struct domain_rank
{
    /// Zero-based rank.
    std::size_t rank = 0;
    /// Number of live instances, including this one.
    std::size_t size = 1;
};

} // namespace kumquatloom::membership

#endif
