#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_REGISTRY_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/routing/upstream_change.hpp>
#include <kumquatloom/routing/upstream_endpoint.hpp>
#include <kumquatloom/routing/upstream_registry_settings.hpp>

#include <map>
#include <vector>

namespace kumquatloom::routing
{

/// The upstreams that a list of leases names. Leases also expire while nobody
/// can renew them; upstreams that vanish around an outage of the list are kept
/// until they had the time to come back. Belongs to one thread.
class upstream_registry
{
public:
    explicit upstream_registry(upstream_registry_settings const& settings);

    /// The list was read, and the last time before was at `previous`. A long
    /// gap between the two was an outage.
    void record_list_read(core::time_point previous, core::time_point now);

    /// Takes over one change. Returns whether it matters to routing.
    bool apply(upstream_change const& change, core::time_point now);

    /// Takes over a whole list; what it does not name was removed. Returns
    /// whether that matters to routing.
    bool replace(std::vector<listed_upstream> const& whole,
                 core::time_point now);

    /// Drops upstreams that did not come back. Returns whether there were any.
    bool expire(core::time_point now);

    /// All upstreams, those that are leaving included.
    std::vector<listed_upstream> listing() const;

    /// Number of upstreams that may still come back.
    std::size_t lapsed() const;

private:
    /// An upstream of the list.
    struct registered
    {
        /// Its last entry.
        listed_upstream entry;
        /// Whether the entry is missing.
        bool lapsed = false;
    };

    bool remove(core::upstream_id const& id, core::time_point now);

    /// Times.
    upstream_registry_settings settings_;
    /// Upstreams by id.
    std::map<core::upstream_id, registered> upstreams_;
    /// Until when upstreams that vanished may come back.
    core::time_point grace_end_ = core::time_point::min();
};

} // namespace kumquatloom::routing

#endif
