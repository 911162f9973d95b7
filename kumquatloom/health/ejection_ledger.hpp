#ifndef KUMQUATLOOM_HEALTH_EJECTION_LEDGER_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_LEDGER_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/core/result.hpp>
#include <kumquatloom/health/eject_record.hpp>
#include <kumquatloom/health/ejection_rejection.hpp>
#include <kumquatloom/health/ejection_slot.hpp>
#include <kumquatloom/health/readmit_record.hpp>

#include <map>
#include <vector>

namespace kumquatloom::health
{

/// The ejections in force, computed from the log. Every instance applies the
/// same records at the same offsets and reaches the same state.
class ejection_ledger
{
public:
    /// Success, or the reason why a record has no effect.
    using apply_result = core::result<void, ejection_rejection>;

    /// Applies an ejection. `budget` is the service's ejection budget in the
    /// document at that offset.
    apply_result
    apply(eject_record const& record, core::log_offset offset, unsigned budget);

    /// Applies a readmission, which releases the slot at `offset`.
    apply_result apply(readmit_record const& record,
                       core::log_offset offset,
                       unsigned budget);

    /// Applies a change of a service's budget by the edit at `offset`. The edit
    /// releases the occupied slots at or above the new budget: after a later
    /// increase, an ejection into such a slot must name the offset of that edit
    /// as the last release.
    void change_budget(core::service_name const& service,
                       unsigned budget,
                       core::log_offset offset);

    /// All slots of a service that were ever within its budget.
    std::vector<ejection_slot> const&
    slots(core::service_name const& service) const;

    /// Slots of all services, for snapshots.
    std::map<core::service_name, std::vector<ejection_slot>> const&
    services() const
    {
        return services_;
    }

    /// Replaces the slots of a service with those of a snapshot.
    void restore(core::service_name const& service,
                 std::vector<ejection_slot> slots);

    friend bool operator==(ejection_ledger const&,
                           ejection_ledger const&) = default;

private:
    /// Grows the slots of a service to the budget, releases the occupied ones
    /// at or above the budget, and returns all slots.
    std::vector<ejection_slot>&
    enforce_budget(core::service_name const& service,
                   unsigned budget,
                   core::log_offset offset);

    /// Slots by service. Slots at or above the budget are kept, because later
    /// ejections must name their last releases.
    std::map<core::service_name, std::vector<ejection_slot>> services_;
};

} // namespace kumquatloom::health

#endif
