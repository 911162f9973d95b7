#ifndef KUMQUATLOOM_HEALTH_TRACKED_UPSTREAM_HPP
#define KUMQUATLOOM_HEALTH_TRACKED_UPSTREAM_HPP

#include <kumquatloom/core/ids.hpp>
#include <kumquatloom/health/attempt_recorder.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

namespace kumquatloom::health
{

/// An upstream that a monitor watches.
struct tracked_upstream
{
    /// Its name.
    core::upstream_id id;
    /// Its region; latencies are compared within a region.
    core::region region;
    /// Where the request path records attempts at it.
    boost::intrusive_ptr<attempt_recorder> recorder;
};

} // namespace kumquatloom::health

#endif
