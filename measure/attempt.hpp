#ifndef KUMQUATLOOM_MEASURE_ATTEMPT_HPP
#define KUMQUATLOOM_MEASURE_ATTEMPT_HPP

#include <kumquatloom/core/clock.hpp>
#include <kumquatloom/health/attempt_report.hpp>
#include <kumquatloom/routing/pick.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <vector>

namespace kumquatloom::measure
{

/// A request of a caller.
struct request_state
    : boost::intrusive_ref_counter<request_state, boost::thread_unsafe_counter>
{
    /// The entry instance that received it.
    unsigned instance = 0;
    /// Whether it may run more than once.
    bool is_idempotent = false;
    /// When it arrived, and when its caller gives up.
    core::time_point start;
    core::time_point deadline;
    /// Attempts so far, and how often an upstream ran it.
    unsigned attempts = 0;
    unsigned executions = 0;
    /// Whether an attempt ended in another way than by a refusal.
    bool may_have_run = false;
    /// Upstreams that were tried.
    std::vector<boost::intrusive_ptr<routing::upstream>> tried;
};

/// One attempt of a request at one upstream.
struct attempt_state
    : boost::intrusive_ref_counter<attempt_state, boost::thread_unsafe_counter>
{
    /// The request.
    boost::intrusive_ptr<request_state> request;
    /// Number of the upstream.
    unsigned upstream = 0;
    /// The choice, where the policy uses a picker.
    routing::pick chosen;
    /// When it was sent.
    core::time_point sent;
    /// Whether the entry instance ended it.
    bool ended = false;
    /// How the upstream answered.
    health::attempt_result result = health::attempt_result::success;
    /// Load and state in the response's headers.
    unsigned reported_load = 0;
    bool reports_leaving = false;
};

using attempt_pointer = boost::intrusive_ptr<attempt_state>;

} // namespace kumquatloom::measure

#endif
