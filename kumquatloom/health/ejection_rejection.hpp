#ifndef KUMQUATLOOM_HEALTH_EJECTION_REJECTION_HPP
#define KUMQUATLOOM_HEALTH_EJECTION_REJECTION_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::health
{

/// Why the ledger ignored an ejection or readmission record.
enum class ejection_rejection : std::uint8_t
{
    /// The slot number is not below the service's budget.
    slot_outside_budget,
    /// The slot holds another ejection.
    slot_taken,
    /// The record does not name the last release of the slot, for example
    /// because it is a late duplicate of an accepted record.
    release_not_current,
    /// The upstream already occupies a slot.
    already_ejected,
    /// A readmission names an ejection that is not in force.
    no_such_ejection,
    count
};

/// Returns the metric label of a reason.
std::string_view to_string(ejection_rejection reason);

} // namespace kumquatloom::health

#endif
