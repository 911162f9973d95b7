#ifndef KUMQUATLOOM_HEALTH_EJECTION_VIEW_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_VIEW_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/ejection_slot.hpp>
#include <kumquatloom/health/upstream_standing.hpp>

#include <chrono>
#include <vector>

namespace kumquatloom::health
{

/// How long after the moment as of which an instance is fresh it may honour
/// ejections, and how long a writer waits before it claims a released slot.
constexpr core::duration ejection_lease = std::chrono::seconds(5);

/// The ejections of one service as one instance may honour them. Releases take
/// effect as soon as the instance has reduced them, without waiting for
/// activation, because honouring a released slot would add to the union.
class ejection_view
{
public:
    /// Takes the ledger's slots and the moment as of which the instance knows
    /// the whole log.
    ejection_view(std::vector<ejection_slot> const& slots,
                  core::time_point fresh_as_of)
        : slots_(slots)
        , lease_expiry_(fresh_as_of + ejection_lease)
    {
    }

    /// When the ejections turn into avoidance unless the view is renewed.
    core::time_point lease_expiry() const
    {
        return lease_expiry_;
    }

    /// The standing that the ledger gives an upstream: ejected, avoided if
    /// this instance is not fresh, or normal.
    upstream_standing standing(core::upstream_id const& upstream,
                               core::time_point now) const;

private:
    /// The slots of the service.
    std::vector<ejection_slot> const& slots_;
    /// See lease_expiry().
    core::time_point lease_expiry_;
};

} // namespace kumquatloom::health

#endif
