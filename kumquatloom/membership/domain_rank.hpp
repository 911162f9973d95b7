#ifndef KUMQUATLOOM_MEMBERSHIP_DOMAIN_RANK_HPP
#define KUMQUATLOOM_MEMBERSHIP_DOMAIN_RANK_HPP

#include <cstddef>

namespace kumquatloom::membership
{

/// Where an instance stands among the live ones of its failure domain.
struct domain_rank
{
    /// Its rank, from 0.
    std::size_t rank = 0;
    /// Live instances, with itself.
    std::size_t size = 1;
};

} // namespace kumquatloom::membership

#endif
