#ifndef KUMQUATLOOM_ENTRY_ENTRIES_PAGE_HPP
#define KUMQUATLOOM_ENTRY_ENTRIES_PAGE_HPP

#include <kumquatloom/core/ids.hpp>

#include <cstddef>
#include <string>

namespace kumquatloom::entry
{

struct instance_state;

/// The answer to a caller that asks which instances to use, as JSON. An empty
/// failure domain stands for that of this instance.
std::string entries_page(instance_state& state,
                         core::organisation_name const& organisation,
                         core::failure_domain const& asked_domain);

/// The answer to a caller that asks for tickets, as JSON.
std::string tickets_page(instance_state& state,
                         core::organisation_name const& organisation);

} // namespace kumquatloom::entry

#endif
