#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_CHANGE_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_CHANGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/routing/entry_fault.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <optional>

namespace kumquatloom::routing
{

/// Change of one upstream in the list: its latest entry, or its removal.
struct upstream_change
{
    core::upstream_id id;
    /// The new entry; empty if the entry was removed or names no upstream.
    std::optional<listed_upstream> entry;
    /// Why an entry that was not removed names no upstream. Neighbours are not
    /// told.
    std::optional<entry_fault> fault{};
};

} // namespace kumquatloom::routing

#endif
