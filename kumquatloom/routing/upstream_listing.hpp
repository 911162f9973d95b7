#ifndef KUMQUATLOOM_ROUTING_UPSTREAM_LISTING_HPP
#define KUMQUATLOOM_ROUTING_UPSTREAM_LISTING_HPP

#include <kumquatloom/routing/upstream_endpoint.hpp>

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace kumquatloom::routing
{

/// The upstreams of all services at one time.
struct upstream_listing : boost::intrusive_ref_counter<upstream_listing>
{
    /// All upstreams that may be used or are leaving.
    std::vector<listed_upstream> upstreams;
};

} // namespace kumquatloom::routing

#endif
