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

/// The ejections in force, reduced from the log. Every instance applies the
/// same records at the same offsets and gets the same ledger.
class ejection_ledger
{
public:
    /// Nothing, or the reason why a record has no effect.
    using verdict = core::result<void, ejection_rejection>;

    /// Applies an ejection. `budget` is the service's ejection budget in the
    /// document at that offset.
    verdict
    apply(eject_record const& record, core::log_offset offset, unsigned budget);

    /// Applies a readmission, which releases the slot at `offset`.
    verdict apply(readmit_record const& record,
                  core::log_offset offset,
                  unsigned budget);

    /// Applies a change of a service's budget by the edit at `offset`. Slots
    /// at or above the new budget are released by that edit: a later budget
    /// that includes them again asks for the edit's offset as their release.
    void change_budget(core::service_name const& service,
                       unsigned budget,
                       core::log_offset offset);

    /// All slots of a service that were ever in its budget.
    std::vector<ejection_slot> const&
    slots(core::service_name const& service) const;

    /// Services by name, for snapshots.
    std::map<core::service_name, std::vector<ejection_slot>> const&
    services() const
    {
        return services_;
    }

    /// Replaces the slots of a service by those of a snapshot.
    void restore(core::service_name const& service,
                 std::vector<ejection_slot> slots);

    friend bool operator==(ejection_ledger const&,
                           ejection_ledger const&) = default;

private:
    /// The slots of a service, at least as many as the budget, with the ones
    /// above the budget released.
    std::vector<ejection_slot>& slots_within(core::service_name const& service,
                                             unsigned budget,
                                             core::log_offset offset);

    /// Slots by service. Slots above the budget stay, for their releases.
    std::map<core::service_name, std::vector<ejection_slot>> services_;
};

} // namespace kumquatloom::health

#endif
