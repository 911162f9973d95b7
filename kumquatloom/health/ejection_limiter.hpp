#ifndef KUMQUATLOOM_HEALTH_EJECTION_LIMITER_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_LIMITER_HPP

#include <kumquatloom/health/standing_decision.hpp>

#include <vector>

namespace kumquatloom::health
{

/// Limits how many upstreams of a service one instance ejects or avoids.
class ejection_limiter
{
public:
    /// Takes two limits of the document: the number of upstreams that must not
    /// be ejected, and the number that may be ejected or avoided.
    ejection_limiter(unsigned floor, unsigned budget)
        : floor_(floor)
        , budget_(budget)
    {
    }

    /// Relaxes the decisions about the upstreams that are live and not leaving.
    /// Ejected ones become avoided, the lowest severity first, until the floor
    /// holds and the ejected ones are within the budget. Then avoided ones
    /// become normal, the lowest severity first, until avoided and ejected ones
    /// together are within the budget.
    void apply(std::vector<standing_decision>& decisions) const;

private:
    /// Minimum number of upstreams that are not ejected.
    unsigned floor_;
    /// Maximum number of upstreams that are avoided or ejected.
    unsigned budget_;
};

} // namespace kumquatloom::health

#endif
