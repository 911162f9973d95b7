#ifndef KUMQUATLOOM_HEALTH_EJECTION_LIMITER_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_LIMITER_HPP

#include <kumquatloom/health/standing_decision.hpp>

#include <vector>

namespace kumquatloom::health
{

/// Keeps the view of one instance above the floor of a service.
class ejection_limiter
{
public:
    /// Takes the two numbers of the document: upstreams that must stay in
    /// service, and upstreams that may be kept out of it.
    ejection_limiter(unsigned floor, unsigned budget)
        : floor_(floor)
        , budget_(budget)
    {
    }

    /// Corrects the decisions about the upstreams that are live and not
    /// leaving. Ejected ones become avoided, least sick first, until the floor
    /// holds; then avoided ones become normal, least sick first, until
    /// avoided and ejected ones are within the budget.
    void apply(std::vector<standing_decision>& decisions) const;

private:
    /// Upstreams that must not be ejected.
    unsigned floor_;
    /// Most upstreams that are avoided or ejected.
    unsigned budget_;
};

} // namespace kumquatloom::health

#endif
