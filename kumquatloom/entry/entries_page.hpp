#ifndef KUMQUATLOOM_ENTRY_ENTRIES_PAGE_HPP
#define KUMQUATLOOM_ENTRY_ENTRIES_PAGE_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <string>

namespace kumquatloom::entry
{

struct instance_state;

/// The JSON list of entry instances that a caller should use, with some
/// tickets. An empty failure domain stands for that of this instance.
std::string entries_page(instance_state& state,
                         core::organisation_name const& organisation,
                         core::failure_domain const& requested_domain);

/// A JSON list of newly issued tickets.
std::string tickets_page(instance_state& state,
                         core::organisation_name const& organisation);

} // namespace kumquatloom::entry

#endif
