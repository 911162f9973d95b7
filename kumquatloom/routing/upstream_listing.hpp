#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_LISTING_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_LISTING_HPP

#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace kumquatloom::routing
{

/// Snapshot of the upstreams of all services.
struct upstream_listing : boost::intrusive_ref_counter<upstream_listing>
{
    /// All live and leaving upstreams.
    std::vector<listed_upstream> upstreams;
};

} // namespace kumquatloom::routing

#endif
