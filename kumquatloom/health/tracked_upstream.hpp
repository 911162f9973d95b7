#ifndef KUMQUATLOOM_HEALTH_TRACKED_UPSTREAM_HPP
#define KUMQUATLOOM_HEALTH_TRACKED_UPSTREAM_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_recorder.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

namespace kumquatloom::health
{

/// An upstream that a health monitor tracks.
struct tracked_upstream
{
    core::upstream_id id;
    /// Region of the upstream; latencies are compared within a region.
    core::region region;
    /// The recorder that the request path adds attempts to.
    boost::intrusive_ptr<attempt_recorder> recorder;
};

} // namespace kumquatloom::health

#endif
