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
    /// Another upstream holds the slot.
    slot_taken,
    /// The record does not name the last release of the slot. Late duplicates
    /// of an accepted record end here too.
    release_not_current,
    /// The upstream holds another slot.
    already_ejected,
    /// A readmission names an ejection that is not in force.
    no_such_ejection,
    count
};

/// The reason as a metric label.
std::string_view to_string(ejection_rejection reason);

} // namespace kumquatloom::health

#endif
