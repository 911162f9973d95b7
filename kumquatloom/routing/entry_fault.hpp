#ifndef KUMQUATLOOM_ROUTING_ENTRY_FAULT_HPP
#define KUMQUATLOOM_ROUTING_ENTRY_FAULT_HPP

#include <cstdint>
#include <string_view>

namespace kumquatloom::routing
{

/// Why an entry in the list of upstreams is ignored.
enum class entry_fault : std::uint8_t
{
    /// The key is empty, too long, or has characters that no id has.
    bad_id,
    /// The bytes cannot be parsed, or nest too deeply.
    unreadable,
    /// A required field is missing.
    missing_field,
    /// A field has another type.
    wrong_type,
    /// A number, an address or the length of a name is out of range.
    out_of_range,
    /// The state is not known.
    unknown_state,
    /// The failure domain is not known.
    unknown_domain,
    count
};

/// Returns the metric label of a fault.
std::string_view to_string(entry_fault fault);

} // namespace kumquatloom::routing

#endif
