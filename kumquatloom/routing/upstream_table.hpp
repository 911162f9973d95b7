#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_TABLE_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_TABLE_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/standing_decision.hpp>
#include <kumquatloom/health/tracked_upstream.hpp>
#include <kumquatloom/routing/pick_tier.hpp>
#include <kumquatloom/routing/upstream.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>
#include <vector>

namespace kumquatloom::routing
{

/// Location of an instance, for choosing upstreams near it.
struct locality
{
    core::failure_domain domain;
    core::region region;
};

/// Immutable snapshot of the upstreams of one service, in order of distance.
/// The upstream objects that it refers to are shared and change.
class upstream_table : public boost::intrusive_ref_counter<upstream_table>
{
public:
    using pointer = boost::intrusive_ptr<upstream_table const>;

    /// An upstream and its distance.
    struct entry
    {
        boost::intrusive_ptr<upstream> object;
        /// One of own_domain, own_region and other_region.
        pick_tier distance = pick_tier::own_domain;
    };

    /// Builds a table. Objects of `previous` (may be null) are reused, so that
    /// the state of an upstream is kept. An upstream that was leaving remains
    /// so, even if a lagging list drops it and later shows it as live again.
    /// Objects that are not reused are marked as leaving, because attempts that
    /// have not been sent may still refer to them.
    static pointer build(pointer const& previous,
                         std::vector<listed_upstream> const& listed,
                         locality const& here,
                         core::time_point now);

    /// All upstreams, the nearest first.
    std::vector<entry> const& entries() const
    {
        return entries_;
    }

    /// Returns an upstream by id, or null.
    boost::intrusive_ptr<upstream> find(core::upstream_id const& id) const;

    /// Ids of the upstreams that are not leaving.
    std::vector<core::upstream_id> live() const;

    /// The upstreams as a health monitor tracks them.
    std::vector<health::tracked_upstream> tracked() const;

    /// Applies decisions about upstreams of this table.
    void publish(std::vector<health::standing_decision> const& decisions,
                 core::time_point lease_expiry) const;

private:
    /// An upstream that disappeared from the list while it was leaving.
    struct departure
    {
        upstream_endpoint endpoint;
        core::time_point expires_at;
    };

    /// Returns the object for a listed upstream, from `previous` if it has the
    /// same endpoint.
    static boost::intrusive_ptr<upstream>
    find_or_create(pointer const& previous,
                   listed_upstream const& item,
                   core::time_point now);

    void add(boost::intrusive_ptr<upstream> object, pick_tier distance);

    /// Whether the endpoint departed recently.
    bool departed_recently(upstream_endpoint const& endpoint) const;

    /// Copies the recent departures of the previous table and adds the new
    /// ones.
    void carry_over_departures(upstream_table const& previous,
                               core::time_point now);

    /// All upstreams, the nearest first.
    std::vector<entry> entries_;
    /// The same objects by id, for a fast lookup: services have hundreds of
    /// upstreams.
    boost::unordered_flat_map<core::upstream_id,
                              upstream*,
                              std::hash<core::upstream_id>>
        by_id_;
    std::vector<departure> departures_;
};

} // namespace kumquatloom::routing

#endif
