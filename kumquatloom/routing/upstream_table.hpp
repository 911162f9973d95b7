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

/// Where an instance is, for choosing upstreams near it.
struct locality
{
    /// Its failure domain.
    core::failure_domain domain;
    /// Its region.
    core::region region;
};

/// The upstreams of one service at one time, in order of distance. It does
/// not change after it was built; the objects that it names do.
class upstream_table : public boost::intrusive_ref_counter<upstream_table>
{
public:
    using pointer = boost::intrusive_ptr<upstream_table const>;

    /// One upstream and its distance.
    struct entry
    {
        boost::intrusive_ptr<upstream> object;
        /// own_domain, own_region or other_region.
        pick_tier distance = pick_tier::own_domain;
    };

    /// Builds a table. Objects of `previous` (may be null) are used again, so
    /// that what is known of an upstream survives. An upstream that was
    /// leaving stays so, even if a lagging list drops it and then shows it as
    /// live again.
    static pointer build(pointer const& previous,
                         std::vector<listed_upstream> const& listed,
                         locality const& here,
                         core::time_point now);

    /// All upstreams, the nearest first.
    std::vector<entry> const& entries() const
    {
        return entries_;
    }

    /// The object of an upstream, or null.
    boost::intrusive_ptr<upstream> find(core::upstream_id const& id) const;

    /// Names of the upstreams that are not leaving.
    std::vector<core::upstream_id> live() const;

    /// What a health monitor needs to watch them.
    std::vector<health::tracked_upstream> tracked() const;

    /// Takes over decisions, which name upstreams of this table.
    void publish(std::vector<health::standing_decision> const& decisions,
                 core::time_point lease_expiry) const;

private:
    /// An upstream that left the list while it was leaving.
    struct departure
    {
        upstream_endpoint endpoint;
        core::time_point forget_at;
    };

    /// The object for a listed upstream, old or new.
    static boost::intrusive_ptr<upstream>
    object_for(pointer const& previous,
               listed_upstream const& item,
               core::time_point now);

    /// Adds an upstream.
    void add(boost::intrusive_ptr<upstream> object, pick_tier distance);

    /// Whether the endpoint left recently.
    bool has_departed(upstream_endpoint const& endpoint) const;

    /// Takes over the departures of the table before this one.
    void remember_departures(upstream_table const& previous,
                             core::time_point now);

    /// All upstreams, the nearest first.
    std::vector<entry> entries_;
    /// The same objects by name: services have hundreds of upstreams.
    boost::unordered_flat_map<core::upstream_id,
                              upstream*,
                              std::hash<core::upstream_id>>
        by_id_;
    /// Upstreams that left.
    std::vector<departure> departures_;
};

} // namespace kumquatloom::routing

#endif
