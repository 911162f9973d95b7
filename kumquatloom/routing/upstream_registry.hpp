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

/// The upstreams of a list in which each entry holds a lease. Leases also
/// expire while the list is unavailable and no upstream can renew them.
/// Upstreams that disappear around such an outage are therefore kept until they
/// have had time to renew their leases. Used by one thread only.
class upstream_registry
{
public:
    explicit upstream_registry(upstream_registry_settings const& settings);

    /// Records that the list was read at `read_at`; the read before it was at
    /// `previous`. A long gap between them was an outage; returns whether it
    /// was.
    bool record_list_read(core::time_point previous,
                          core::time_point read_at,
                          core::time_point now);

    /// Applies one change. Returns whether it affects routing.
    bool apply(upstream_change const& change, core::time_point now);

    /// Applies a complete list; upstreams that it does not contain were
    /// removed. Returns whether routing is affected.
    bool replace(std::vector<listed_upstream> const& list,
                 core::time_point now);

    /// Drops upstreams that have not renewed their leases in time after an
    /// outage. Returns whether there were any.
    bool expire(core::time_point now);

    /// All upstreams, including those that are leaving.
    std::vector<listed_upstream> listing() const;

    /// Whether the lease of an upstream has lapsed and it may still renew it.
    bool is_lapsed(core::upstream_id const& id) const;

    /// Number of upstreams whose leases have lapsed and that may still renew
    /// them.
    std::size_t lapsed_count() const;

    /// Ids of the upstreams whose leases have lapsed and that may still renew
    /// them.
    std::vector<core::upstream_id> lapsed() const;

    /// Time that upstreams with lapsed leases have left to renew them.
    core::duration grace_left(core::time_point now) const;

    /// Marks listed upstreams as lapsed, as another registry knows them;
    /// `grace_left` is the time that they have left there.
    void mark_lapsed(std::vector<core::upstream_id> const& ids,
                     core::duration grace_left,
                     core::time_point now);

private:
    struct registration
    {
        /// Last entry of the upstream.
        listed_upstream entry;
        /// Whether the entry disappeared around an outage.
        bool lapsed = false;
    };

    bool remove(core::upstream_id const& id, core::time_point now);

    upstream_registry_settings settings_;
    std::map<core::upstream_id, registration> upstreams_;
    /// Until when upstreams with lapsed leases are kept.
    core::time_point grace_end_ = core::time_point::min();
};

} // namespace kumquatloom::routing

#endif
