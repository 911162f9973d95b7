#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_CHANGE_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_CHANGE_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <optional>

namespace kumquatloom::routing
{

/// The latest entry of one upstream in a list, or its removal.
struct upstream_change
{
    /// The upstream.
    core::upstream_id id;
    /// Its entry; nothing if it was removed or cannot be read.
    std::optional<listed_upstream> entry;
};

} // namespace kumquatloom::routing

#endif
