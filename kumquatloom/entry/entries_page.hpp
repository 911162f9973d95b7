#ifndef KUMQUATLOOM_ENTRY_ENTRIES_PAGE_HPP
#define KUMQUATLOOM_ENTRY_ENTRIES_PAGE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>

#include <string>
#include <string_view>

namespace kumquatloom::entry
{

struct instance_state;

/// The answer to a caller that asks which instances to use, as JSON. The
/// query of the target may name the caller's failure domain.
std::string entries_page(instance_state& state,
                         core::organisation_name const& organisation,
                         std::string_view target,
                         core::time_point now);

/// The answer to a caller that asks for tickets, as JSON.
std::string tickets_page(instance_state& state,
                         core::organisation_name const& organisation);

} // namespace kumquatloom::entry

#endif
