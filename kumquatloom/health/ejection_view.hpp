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

/// Lease of ejections: an instance applies them for this long after the time as
/// of which its state includes the whole log. A writer waits at least as long
/// before it claims a released slot.
constexpr core::duration ejection_lease = std::chrono::seconds(5);

/// The ejections of one service as one instance may apply them. Releases take
/// effect as soon as the instance has applied them to its ledger, before their
/// log offset becomes active (see document::activation_rule): an instance that
/// still ejected an upstream whose slot was released could raise the number of
/// upstreams ejected across the fleet above the budget.
class ejection_view
{
public:
    /// Takes the ledger's slots, which must outlive the view, and the time as
    /// of which the instance's state includes the whole log.
    ejection_view(std::vector<ejection_slot> const& slots,
                  core::time_point fresh_as_of)
        : slots_(slots)
        , lease_expiry_(fresh_as_of + ejection_lease)
    {
    }

    /// When the lease expires; from then on ejected upstreams are only avoided.
    core::time_point lease_expiry() const
    {
        return lease_expiry_;
    }

    /// Standing by the ledger: ejected, or avoided if the lease has expired, or
    /// normal.
    upstream_standing standing(core::upstream_id const& upstream,
                               core::time_point now) const;

private:
    std::vector<ejection_slot> const& slots_;
    core::time_point lease_expiry_;
};

} // namespace kumquatloom::health

#endif
